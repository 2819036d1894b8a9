package cloud

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"

	"github.com/trefoillug/trefoillug/progress"
)

// ErrStartRefused means that the platform has no instance of the requested offer available; nothing was started.
var ErrStartRefused = errors.New("start refused by the platform")

// Offer is an instance type that can be requested in a failure domain.
type Offer struct {
	ID            string  `json:"id"`
	Service       string  `json:"service,omitempty"` // empty means any service
	Class         string  `json:"class"`             // machine class
	FailureDomain string  `json:"failure_domain"`
	Region        string  `json:"region,omitempty"`
	Price         float64 `json:"price"` // currency units per hour
	Reclaimable   bool    `json:"reclaimable"`
	Capacity      float64 `json:"capacity"` // requests a second that an instance can serve
}

// StartRequest requests an instance. The caller chooses the ID, so that a repeated request does not start a second
// instance.
type StartRequest struct {
	ID      string `json:"id"`
	Offer   string `json:"offer"`
	Service string `json:"service"`
	Version string `json:"version"` // version to load; appears as Instance.Assigned in the instance list
}

// Cloud starts and stops instances. Start and Stop may be repeated after an error. A started instance appears in the
// instance list with a delay.
type Cloud interface {
	// Offers returns the instance types that can be requested.
	Offers(ctx context.Context) ([]Offer, error)
	// Start requests an instance. It returns ErrStartRefused, possibly wrapped, if none is available.
	Start(ctx context.Context, r StartRequest) error
	// Stop stops an instance. It is not an error if the instance does not exist.
	Stop(ctx context.Context, id string) error
}

// Offers implements Cloud.
func (c *Client) Offers(ctx context.Context) ([]Offer, error) {
	var offers []Offer
	_, _, err := c.getJSON(ctx, "/offers", "", &offers)
	return offers, err
}

// Start implements Cloud.
func (c *Client) Start(ctx context.Context, r StartRequest) error {
	body, err := json.Marshal(r)
	if err != nil {
		return err
	}
	status, err := c.send(ctx, http.MethodPost, "/starts", body)
	switch {
	case err != nil:
		return err
	case status == http.StatusConflict:
		return ErrStartRefused
	case status >= http.StatusMultipleChoices:
		return fmt.Errorf("start an instance: status %d", status)
	}
	return nil
}

// Stop implements Cloud.
func (c *Client) Stop(ctx context.Context, id string) error {
	status, err := c.send(ctx, http.MethodDelete, "/instances/"+url.PathEscape(id), nil)
	if err != nil {
		return err
	}
	if status >= http.StatusMultipleChoices && status != http.StatusNotFound {
		return fmt.Errorf("stop instance %s: status %d", id, status)
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, body []byte) (status int, err error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%s %s on the platform: %w", method, path, err)
	}
	return resp.StatusCode, errors.Join(progress.CheckStatus(resp.StatusCode), resp.Body.Close())
}
