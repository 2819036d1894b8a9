// Package cloud defines the interfaces to the platform's instance list and cloud API and implements them over HTTP.
package cloud

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/trefoillug/trefoillug/progress"
)

// Role is the kind of program that runs on an instance.
type Role string

// Roles of an instance.
const (
	RoleEndpoint Role = "endpoint"
	RoleEntry    Role = "entry"
)

// State is the state of an instance in the platform's list.
type State string

// States of an instance.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Instance is an entry of the platform's instance list.
type Instance struct {
	ID            string    `json:"id"`
	Address       string    `json:"address"` // host:port of the endpoint or of the entry daemon's peer listener
	FailureDomain string    `json:"failure_domain"`
	Region        string    `json:"region,omitempty"`
	Role          Role      `json:"role"`
	Class         string    `json:"class,omitempty"`    // machine class
	Price         float64   `json:"price,omitempty"`    // currency units per hour
	Reclaimable   bool      `json:"reclaimable"`        // false for on-demand instances
	Service       string    `json:"service,omitempty"`  // service of an endpoint
	Version       string    `json:"version,omitempty"`  // version that an endpoint serves; empty until it has loaded one
	Assigned      string    `json:"assigned,omitempty"` // version for which the pool started the endpoint
	State         State     `json:"state"`
	LeaveBy       time.Time `json:"leave_by,omitzero"` // set when State is StateLeaving
}

// InstanceLister returns the platform's list of live and leaving instances. Changes appear in the list with a delay.
type InstanceLister interface {
	Instances(ctx context.Context) ([]Instance, error)
}

// Client implements InstanceLister, NoticeLister and Cloud over HTTP. It is safe for concurrent use.
type Client struct {
	base string
	http *http.Client

	mu   sync.Mutex
	etag string // ETag of list
	list []Instance
}

// NewClient returns a client for the instance list and cloud API at the URL base.
func NewClient(base string, hc *http.Client) *Client {
	return &Client{base: strings.TrimSuffix(base, "/"), http: hc}
}

// Instances implements InstanceLister. The list is transferred only if it has changed, because with 3,450 instances it
// is about 0.9 MB. The result is shared and must not be modified.
func (c *Client) Instances(ctx context.Context) ([]Instance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []Instance
	etag, changed, err := c.getJSON(ctx, "/instances", c.etag, &list)
	if err != nil {
		return nil, err
	}
	if changed {
		c.etag, c.list = etag, list
	}
	return c.list, nil
}

// Notice announces that an instance, or each instance of a failure domain, will be reclaimed.
type Notice struct {
	Instance      string    `json:"instance,omitempty"` // empty for the whole failure domain
	FailureDomain string    `json:"failure_domain,omitempty"`
	ReclaimAt     time.Time `json:"by"` // when the instance will be reclaimed
}

// NoticeLister returns the current reclaim notices.
type NoticeLister interface {
	Notices(ctx context.Context) ([]Notice, error)
}

// Notices implements NoticeLister.
func (c *Client) Notices(ctx context.Context) ([]Notice, error) {
	var notices []Notice
	_, _, err := c.getJSON(ctx, "/notices", "", &notices)
	return notices, err
}

// getJSON requests path, with oldTag as If-None-Match unless it is empty. For a new response it decodes the body into
// out and returns the new ETag and true. If the platform reports no change, it leaves out unmodified and returns oldTag
// and false.
func (c *Client) getJSON(ctx context.Context, path, oldTag string, out any) (tag string, changed bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path, nil)
	if err != nil {
		return "", false, err
	}
	if oldTag != "" {
		req.Header.Set("If-None-Match", oldTag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return "", false, fmt.Errorf("get %s from the platform: %w", path, err)
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusNotModified:
		return oldTag, false, nil
	case http.StatusOK:
	default:
		return "", false, fmt.Errorf("get %s from the platform: status %d", path, resp.StatusCode)
	}
	if err := progress.DecodeJSON(resp.Body, out); err != nil {
		return "", false, fmt.Errorf("decode %s from the platform: %w", path, err)
	}
	return resp.Header.Get("ETag"), true, nil
}
