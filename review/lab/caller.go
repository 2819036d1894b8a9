package lab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// NewID returns a new attempt ID.
func NewID() string { return fmt.Sprintf("%08x%08x", time.Now().Unix(), lastID.Add(1)) }

// Answer is what a caller got.
type Answer struct {
	ID     string
	Status int // 0: none
	Sealed bool
	Body   string
	Err    error
	Sent   time.Time
}

// Call sends a request to an address and reads its answer.
func Call(client *http.Client, address, method, path, body string, deadline time.Duration, extra http.Header) Answer {
	a := Answer{ID: NewID(), Sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	var text io.Reader
	if body != "" {
		text = strings.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, text)
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = Host
	for k, v := range extra {
		req.Header[k] = v
	}
	req.Header.Set("Authorization", "Bearer "+Key)
	req.Header.Set("X-Trefoillug-Attempt-Id", a.ID)
	req.Header.Set("X-Trefoillug-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		a.Err = err
		return a
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	a.Status, a.Body, a.Err, a.Sealed = resp.StatusCode, string(b), err, resp.Header.Get("X-Trefoillug-Response-Seal") != ""
	return a
}

// Text returns the answer for the record.
func (a Answer) Text() string {
	switch {
	case a.Status == 0:
		return fmt.Sprintf("no answer: %v", a.Err)
	case a.Err != nil:
		return fmt.Sprintf("status %d, broken off: %v", a.Status, a.Err)
	}
	return fmt.Sprintf("status %d, sealed %t", a.Status, a.Sealed)
}
