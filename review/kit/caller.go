//go:build review

package kit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Request is a request of a caller.
type Request struct {
	ID     string
	Method string
	Target string // path and query
	Header http.Header
	Body   string
}

// Answer is what the caller received.
type Answer struct {
	Status   int
	Header   http.Header
	Body     string
	Complete bool  // the answer ended as HTTP says
	Err      error // why not
	Sent     time.Time
	Ended    time.Time
	Closing  bool // no further request may be sent on the connection
}

var lastID atomic.Int64

// NewID returns the ID of an attempt.
func NewID() string { return fmt.Sprintf("%016x", 0x5eed0000+lastID.Add(1)) }

// Conn is a caller's connection to an instance. It carries one request at a time.
type Conn struct {
	net.Conn
	reader *bufio.Reader
}

// Dial opens a connection to an instance.
func Dial(address string) (*Conn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, reader: bufio.NewReader(c)}, nil
}

// Head returns the head of a request.
func (r *Request) Head() string {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Trefoillug-Attempt-Id: %s\r\nAuthorization: Bearer %s\r\n", r.Method, r.Target, Host, r.ID, Key)
	for name, values := range r.Header {
		for _, v := range values {
			head += name + ": " + v + "\r\n"
		}
	}
	if r.Body != "" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(r.Body))
	}
	return head + "\r\n"
}

// Do sends a request and receives its answer.
func (c *Conn) Do(r *Request) Answer {
	a := Answer{Sent: time.Now(), Closing: true}
	if _, err := io.WriteString(c, r.Head()+r.Body); err != nil {
		a.Err, a.Ended = err, time.Now()
		return a
	}
	c.Receive(r, &a)
	return a
}

// Receive receives the answer to a request that was sent.
func (c *Conn) Receive(r *Request, a *Answer) {
	defer func() { a.Ended = time.Now() }()
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: r.Method})
	if err != nil {
		a.Err = err
		return
	}
	a.Status, a.Header = resp.StatusCode, resp.Header
	body, err := io.ReadAll(resp.Body)
	a.Body, a.Err, a.Complete, a.Closing = string(body), err, err == nil, resp.Close || err != nil
}
