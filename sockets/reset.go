package sockets

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// Conn is a connection that reports its failure, such as a reset or a stalled path, to its reader. The kernel reports a
// failure once: if a write in progress gets the error, reads return the end of the connection, as if the other side had
// closed it.
type Conn struct {
	net.Conn

	writing sync.Mutex    // held during a write
	failure syscall.Errno // the error that a write got, 0: none; guarded by writing
}

// NewConn returns a connection that reports a failure of c to its reader.
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

// recordWrite records the error of a write. EPIPE is no failure of the connection: the kernel returns it for a reset that
// follows the end of what the other side sends. c.writing must be held.
func (c *Conn) recordWrite(err error) {
	var errno syscall.Errno
	if c.failure == 0 && errors.As(err, &errno) && errno != syscall.EPIPE {
		c.failure = errno
	}
}

// Read implements net.Conn. At the end of the connection it ends a write in progress.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err == io.EOF {
		if failure := c.writeFailure(); failure != 0 {
			err = &net.OpError{Op: "read", Net: c.LocalAddr().Network(), Source: c.LocalAddr(), Addr: c.RemoteAddr(), Err: failure}
		}
	}
	return n, err
}

// writeFailure returns the failure of the connection that a write got, 0: none. It ends the write in progress, which may
// have got it.
func (c *Conn) writeFailure() syscall.Errno {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // fails only if the connection is closed, which ends the write too
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.failure
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
