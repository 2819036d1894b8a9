package cloud

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
)

// ErrStartRefused means that the platform has no instance of the offer at present; nothing was started.
var ErrStartRefused = errors.New("start refused by the platform")

// Offer is an instance type that can be requested in a failure domain.
type Offer struct {
	ID            string  `json:"id"`
	Service       string  `json:"service,omitempty"` // empty: any service
	Class         string  `json:"class"`             // machine class
	FailureDomain string  `json:"failure_domain"`
	Region        string  `json:"region,omitempty"`
	Price         float64 `json:"price"` // currency units per hour
	Reclaimable   bool    `json:"reclaimable"`
	Capacity      float64 `json:"capacity"` // requests a second of an instance
}

// StartRequest asks for an instance. The caller names it, so that a repeated request starts no second one.
type StartRequest struct {
	ID      string `json:"id"`
	Offer   string `json:"offer"`
	Service string `json:"service"`
	Version string `json:"version"` // to be loaded; the instance list shows it as assigned
}

// Cloud requests and stops instances. Start and Stop may be repeated after an error; a started instance appears on
// the instance list after a while.
type Cloud interface {
	// Offers returns what can be requested.
	Offers(ctx context.Context) ([]Offer, error)
	// Start requests an instance. It returns ErrStartRefused, wrapped or not, when there is none.
	Start(ctx context.Context, r StartRequest) error
	// Stop ends an instance. Stopping one that does not exist is no error.
	Stop(ctx context.Context, id string) error
}

// Offers implements Cloud.
func (c *ListClient) Offers(ctx context.Context) ([]Offer, error) {
	var offers []Offer
	_, _, err := c.getJSON(ctx, "/offers", "", &offers)
	return offers, err
}

// Start implements Cloud.
func (c *ListClient) Start(ctx context.Context, r StartRequest) error {
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
func (c *ListClient) Stop(ctx context.Context, id string) error {
	status, err := c.send(ctx, http.MethodDelete, "/instances/"+url.PathEscape(id), nil)
	if err != nil {
		return err
	}
	if status >= http.StatusMultipleChoices && status != http.StatusNotFound {
		return fmt.Errorf("stop instance %s: status %d", id, status)
	}
	return nil
}

func (c *ListClient) send(ctx context.Context, method, path string, body []byte) (status int, err error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err != nil {
		return 0, fmt.Errorf("%s %s of the platform: %w", method, path, err)
	}
	return resp.StatusCode, resp.Body.Close()
}
