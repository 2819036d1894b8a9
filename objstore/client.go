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
	"net/url"
	"strconv"
	"strings"
)

// Client is a Store over the HTTP form of the object API.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the object API at base, for example "http://127.0.0.1:7000".
func NewClient(base string, hc *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: hc}
}

// Get implements Store.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	return c.read(ctx, key, c.base+"/objects/"+key)
}

// Watch implements Store.
func (c *Client) Watch(ctx context.Context, key string, after uint64) (Object, error) {
	return c.read(ctx, key, fmt.Sprintf("%s/objects/%s?watch=1&after=%d", c.base, key, after))
}

func (c *Client) read(ctx context.Context, key, target string) (Object, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return Object{}, err
	}
	body, resp, err := c.do(req)
	if err != nil {
		return Object{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err := statusError(resp.StatusCode); err != nil {
		return Object{}, err
	}
	version, err := parseETag(resp.Header.Get("ETag"))
	if err != nil {
		return Object{}, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return Object{Key: key, Version: version, Value: body}, nil
}

// Put implements Store.
func (c *Client) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, c.base+"/objects/"+key, bytes.NewReader(value))
	if err != nil {
		return 0, err
	}
	if ifVersion == 0 {
		req.Header.Set("If-None-Match", "*")
	} else {
		req.Header.Set("If-Match", formatETag(ifVersion))
	}
	_, resp, err := c.do(req)
	if err != nil {
		return 0, writeError(err)
	}
	if err := statusError(resp.StatusCode); err != nil {
		return 0, err
	}
	return parseETag(resp.Header.Get("ETag"))
}

// List implements Store.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/objects?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, err
	}
	body, resp, err := c.do(req)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if err := statusError(resp.StatusCode); err != nil {
		return nil, err
	}
	var objects []Object
	if err := json.Unmarshal(body, &objects); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return objects, nil
}

func (c *Client) do(req *http.Request) ([]byte, *http.Response, error) {
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 64*MaxValueBytes))
	return body, resp, err
}

// writeError tells a write that never left this process from one whose answer was lost.
func writeError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	return fmt.Errorf("%w: %w", ErrUnknownResult, err)
}

func statusError(status int) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrUnavailable
	default:
		return fmt.Errorf("%w: object API answered status %d", ErrUnknownResult, status)
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
