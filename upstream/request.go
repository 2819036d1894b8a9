package upstream

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
)

// framingHeaders are written by head itself.
var framingHeaders = map[string]bool{"Host": true, "Content-Length": true, "Transfer-Encoding": true, "Trailer": true}

// head returns the head of the request. It is not written by net/http, which changes targets that it takes for URLs, such
// as one that begins with two slashes.
func (c *Call) head() ([]byte, error) {
	switch {
	case c.Method == "" || strings.ContainsFunc(c.Method, endsWord):
		return nil, fmt.Errorf("invalid method %q", c.Method)
	case c.URI == "" || strings.ContainsFunc(c.URI, endsWord):
		return nil, fmt.Errorf("invalid request target %q", c.URI)
	case strings.ContainsFunc(c.Host, endsWord):
		return nil, fmt.Errorf("invalid host %q", c.Host)
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", c.Method, c.URI, c.Host)
	if len(c.Body) > 0 || c.Method == http.MethodPost || c.Method == http.MethodPut || c.Method == http.MethodPatch {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(c.Body))
	}
	if err := c.Header.WriteSubset(&b, framingHeaders); err != nil {
		return nil, fmt.Errorf("encode the header: %w", err)
	}
	b.WriteString("\r\n")
	return b.Bytes(), nil
}

// endsWord reports whether a character would end a word of the request line.
func endsWord(r rune) bool { return r <= ' ' || r == 0x7f }
