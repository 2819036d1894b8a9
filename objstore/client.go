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

	"github.com/trefoillug/trefoillug/progress"
)

const (
	// callTimeout is the timeout of a get or put. The API answers in milliseconds, so a longer wait means an outage.
	callTimeout = 2 * time.Second
	// listTimeout is the timeout of a list, whose response may hold many values.
	listTimeout = 10 * time.Second
	// WatchTimeout is the timeout of a watch. A stalled connection can't be distinguished from a key without changes,
	// so a watch ends after this time and the caller opens another one.
	WatchTimeout = 10 * time.Second
	// maxListBytes is the maximum size of the response to a list, which only reports read.
	maxListBytes = 64 * MaxValueBytes
	// maxIdleConnections is the number of idle connections kept open. More concurrent calls are rare on an instance.
	maxIdleConnections = 8
)

// Client implements Store over HTTP. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the object API at base, for example "http://127.0.0.1:7000". If hc is nil, the client
// has its own connection pool. Leave hc.Timeout unset: it would also end watches, and this package sets a timeout for
// each call.
func NewClient(base string, hc *http.Client) *Client {
	if hc == nil {
		hc = &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
			IdleConnTimeout:     time.Minute,

			MaxResponseHeaderBytes: progress.MaxHeadBytes,
		}}
	}
	return &Client{base: strings.TrimSuffix(base, "/"), http: hc}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return c.read(ctx, key, c.objectURL(key))
}

// Watch implements Store. It returns ErrUnavailable if the object has not changed within WatchTimeout.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, WatchTimeout)
	defer cancel()
	return c.read(ctx, key, fmt.Sprintf("%s?watch=1&after=%d", c.objectURL(key), after))
}

func (c *Client) read(ctx context.Context, key, requestURL string) (Object, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, requestURL, nil)
	if err != nil {
		return Object{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	body, resp, err := c.do(req, MaxValueBytes)
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w: %w", key, ErrUnavailable, err)
	}
	if err := readStatusError(resp.StatusCode); err != nil {
		return Object{}, fmt.Errorf("get %s: %w", key, err)
	}
	version, err := parseETag(resp.Header.Get("ETag"))
	if err != nil {
		return Object{}, fmt.Errorf("get %s: %w: %w", key, ErrUnavailable, err)
	}
	return Object{Key: key, Version: version, Value: body}, nil
}

// Put implements Store. If the platform repeats a call by itself, Put may return ErrConflict although its value was
// written. Writers for which this matters put a write ID in their values and read the object back.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if len(value) > MaxValueBytes {
		return 0, fmt.Errorf("put %s: %w: value has %d bytes, the limit is %d", key, ErrUnavailable, len(value), MaxValueBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	ctx, connected := traceConnected(ctx)
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.objectURL(key), bytes.NewReader(value))
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
		return 0, fmt.Errorf("put %s: %w: %w", key, failedWriteError(connected.Load()), err)
	}
	// The result is in the status and the ETag, so an error while reading the body is ignored.
	if err := writeStatusError(resp.StatusCode); err != nil {
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
	if err := readStatusError(resp.StatusCode); err != nil {
		return nil, fmt.Errorf("list %s: %w", prefix, err)
	}
	var objects []Object
	if err := json.Unmarshal(body, &objects); err != nil {
		return nil, fmt.Errorf("list %s: %w: %w", prefix, ErrUnavailable, err)
	}
	return objects, nil
}

// do sends a request and reads the body of the response, up to limit bytes. If reading the body fails, it returns the
// response along with the error.
func (c *Client) do(req *http.Request, limit int) ([]byte, *http.Response, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			// Each stalled idle connection would make another call time out.
			c.http.CloseIdleConnections()
		}
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(limit)+1))
	if err == nil && len(body) > limit {
		err = fmt.Errorf("response exceeds %d bytes", limit)
	}
	return body, resp, err
}

func (c *Client) objectURL(key string) string {
	return c.base + (&url.URL{Path: "/objects/" + key}).EscapedPath()
}

// traceConnected returns a context for one request, and a flag that is set when the request has obtained a connection.
// From then on bytes may have been sent.
func traceConnected(ctx context.Context) (context.Context, *atomic.Bool) {
	connected := new(atomic.Bool)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	return httptrace.WithClientTrace(ctx, trace), connected
}

// failedWriteError classifies a write without a response: one that never got a connection cannot have taken effect.
func failedWriteError(connected bool) error {
	if connected {
		return ErrUnknownResult
	}
	return ErrUnavailable
}

func readStatusError(status int) error {
	switch status {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	default:
		return fmt.Errorf("%w: status %d", ErrUnavailable, status)
	}
}

// writeStatusError converts the status of a write to an error. The API returns 4xx and 503 before it writes anything,
// except 408, after which the write may have taken effect. Any other status may come from a gateway that lost the
// response.
func writeStatusError(status int) error {
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
		return 0, fmt.Errorf("object API returned invalid ETag %q: %w", tag, err)
	}
	return version, nil
}
