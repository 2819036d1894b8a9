package sockets

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection that reports a reset to its reader. The kernel reports one once: if a write in progress gets the
// error, reads return the end of the connection, as if the other side had closed it.
type Conn struct {
	net.Conn

	writing sync.Mutex // held during a write
	reset   bool       // a write got the error; guarded by writing
}

// NewConn returns a connection that reports a reset of c to its reader.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes buffers, with a single system call where the connection allows it.
func (c *Conn) WriteBuffers(b net.Buffers) (int64, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := b.WriteTo(c.Conn)
	c.recordWrite(err)
	return n, err
}

// recordWrite records the error of a write. c.writing must be held.
func (c *Conn) recordWrite(err error) { c.reset = c.reset || errors.Is(err, syscall.ECONNRESET) }

// Read implements net.Conn. At the end of the connection it ends a write in progress.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF && c.wasReset() {
		err = &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: syscall.ECONNRESET}
	}
	return n, err
}

// wasReset reports whether a write got the error of a reset. It ends the write in progress, which may have got it.
func (c *Conn) wasReset() bool {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends the write too
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.reset
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
