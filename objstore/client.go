package objstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// callTimeout bounds a get or put; the API answers in milliseconds, so a longer wait means an outage.
	callTimeout = 2 * time.Second
	// listTimeout bounds a list, which may carry many values.
	listTimeout = 10 * time.Second
	// WatchTimeout bounds a watch. A silent connection can't be told from a key without changes, so a watch is
	// given up after this time and the caller opens another one.
	WatchTimeout = 10 * time.Second
	// maxListBytes bounds the answer to a list.
	maxListBytes = 64 * MaxValueBytes
	// idleConnections is the number of kept connections; more calls than these at once are rare on an instance.
	idleConnections = 8
)

// Client is a Store over the HTTP form of the object API.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the object API at base, for example "http://127.0.0.1:7000". A nil hc means a
// client with its own connection pool. A Timeout of hc would also end watches; the timeouts of this package don't
// need it.
func NewClient(base string, hc *http.Client) *Client {
	if hc == nil {
		hc = &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
			MaxIdleConnsPerHost: idleConnections,
			IdleConnTimeout:     time.Minute,
		}}
	}
	return &Client{base: strings.TrimSuffix(base, "/"), http: hc}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.read(ctx, key, c.target(key))
}

// Watch implements Store. It returns ErrUnavailable when nothing has changed within WatchTimeout.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout)
	defer cancel()
	return c.read(ctx, key, fmt.Sprintf("%s?watch=1&after=%d", c.target(key), after))
}

func (c *Client) read(ctx context.Context, key, target string) (Object, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Object{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	body, resp, err := c.do(req, MaxValueBytes)
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w: %w", key, ErrUnavailable, err)
	}
	if err := readStatus(resp.StatusCode); err != nil {
		return Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	version, err := parseETag(resp.Header.Get("ETag"))
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w: %w", key, ErrUnavailable, err)
	}
	return Object{Key: key, Version: version, Value: body}, nil
}

// Put implements Store. After ErrConflict the writer's own value may be in place when the platform repeats calls
// by itself, so writers that must know mark their values with a write ID and read back.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("put %s: %w: value has %d bytes, the limit is %d", key, ErrUnavailable, len(value), MaxValueBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx, sent := traceSent(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.target(key), bytes.NewReader(value))
	if err != nil {
		return 0, fmt.Errorf("put %s: %w: %w", key, ErrUnavailable, err)
	}
	if ifVersion == 0 {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", formatETag(ifVersion))
	}
	_, resp, err := c.do(req, MaxValueBytes)
	if resp == nil {
		return 0, fmt.Errorf("put %s: %w: %w", key, lostWrite(sent.Load()), err)
	}
	// The status and the ETag suffice; a body that breaks off changes nothing.
	if err := writeStatus(resp.StatusCode); err != nil {
		return 0, fmt.Errorf("put %s: %w", key, err)
	}
	version, err := parseETag(resp.Header.Get("ETag"))
	if err != nil {
		return 0, fmt.Errorf("put %s: %w: %w", key, ErrUnknownResult, err)
	}
	return version, nil
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/objects?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	body, resp, err := c.do(req, maxListBytes)
	if err != nil {
		return nil, fmt.Errorf("list %s: %w: %w", prefix, ErrUnavailable, err)
	}
	if err := readStatus(resp.StatusCode); err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	var objects []Object
	if err := json.Unmarshal(body, &objects); err != nil {
		return nil, fmt.Errorf("list %s: %w: %w", prefix, ErrUnavailable, err)
	}
	return objects, nil
}

// do runs a call. With an error after the response header it returns the response as well.
func (c *Client) do(req *http.Request, limit int) ([]byte, *http.Response, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			// Connections that went silent would each cost a call its timeout.
			c.http.CloseIdleConnections()
		}
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		err = fmt.Errorf("answer exceeds %d bytes", limit)
	}
	return body, resp, err
}

func (c *Client) target(key string) string {
	return c.base + (&url.URL{Path: "/objects/" + key}).EscapedPath()
}

// traceSent reports whether a connection was obtained, after which bytes may have left this process.
func traceSent(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), sent
}

// lostWrite tells a write that never left this process from one whose answer was lost.
func lostWrite(sent bool) error {
	if sent {
		return ErrUnknownResult
	}
	return ErrUnavailable
}

func readStatus(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
}

// writeStatus classifies the status of a write. The API refuses with 4xx and 503 before it writes; any other
// status may come from a gateway that lost the answer.
func writeStatus(status int) error {
	switch {
	case status == http.StatusOK, status == http.StatusCreated, status == http.StatusNoContent:
		return nil
	case status == http.StatusPreconditionFailed:
		return ErrConflict
	case status == http.StatusRequestTimeout:
		return fmt.Errorf("%w: status %d", ErrUnknownResult, status)
	case status == http.StatusServiceUnavailable, status >= 400 && status < 500:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	default:
		return fmt.Errorf("%w: status %d", ErrUnknownResult, status)
	}
}

func formatETag(version uint64) string { return `"` + strconv.FormatUint(version, 10) + `"` }

func parseETag(tag string) (uint64, error) {
	version, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("object API sent ETag %q: %w", tag, err)
	}
	return version, nil
}
