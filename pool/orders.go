package pool

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/lease"
)

// orderTimeout bounds an order on its way; one that was sent has arrived or is lost by then.
const orderTimeout = 5 * time.Second

var (
	// ErrStaleToken means that an engine has seen a higher fencing token.
	ErrStaleToken = errors.New("order rejected: stale fencing token")
	// errTooEarly means that orders of the previous holder may still arrive.
	errTooEarly = errors.New("orders of the previous holder may still arrive")
	// errNotLoading means that an engine doesn't do what it was told.
	errNotLoading = errors.New("engine does not load the ordered version")
)

// Engines sends orders to model engines.
type Engines interface {
	// Order sends an order. It returns ErrStaleToken, wrapped or not, when the engine rejects its token.
	Order(ctx context.Context, address string, o engine.Order) error
	// Serving returns what the orders so far led to.
	Serving(ctx context.Context, address string) (engine.Serving, error)
}

// EngineClient is Engines over HTTP.
type EngineClient struct{ HTTP *http.Client }

// Order implements Engines.
func (c EngineClient) Order(ctx context.Context, address string, o engine.Order) error {
	body, err := json.Marshal(o)
	if err != nil {
		return err
	}
	resp, err := c.do(ctx, http.MethodPost, address, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	switch {
	case resp.StatusCode == http.StatusPreconditionFailed:
		return ErrStaleToken
	case resp.StatusCode >= http.StatusMultipleChoices:
		return fmt.Errorf("order to %s: status %d", address, resp.StatusCode)
	}
	return nil
}

// Serving implements Engines.
func (c EngineClient) Serving(ctx context.Context, address string) (engine.Serving, error) {
	var s engine.Serving
	resp, err := c.do(ctx, http.MethodGet, address, nil)
	if err != nil {
		return s, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return s, fmt.Errorf("read back orders of %s: status %d", address, resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		return s, fmt.Errorf("decode orders of %s: %w", address, err)
	}
	return s, nil
}

func (c EngineClient) do(ctx context.Context, method, address string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+engine.PathOrders, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	return c.HTTP.Do(req)
}

// trusted reports whether an engine's rejection of a stale token can be relied on. An engine that doesn't authenticate
// the sender may have been given any token by anyone.
func trusted(c config.EndpointChecks) bool { return c.Fencing && c.Sender }

// order tells an engine to load a version. All orders state what to load, so they are idempotent. An engine that
// isn't trusted to reject gets none until those of the previous holder have arrived, and is read back.
func order(ctx context.Context, engines Engines, g lease.Grant, checks config.EndpointChecks, address string, l Load) error {
	if !trusted(checks) && time.Now().Before(g.PreviousEnd.Add(orderTimeout)) {
		return errTooEarly
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := engines.Order(ctx, address, engine.Order{Fence: g.Token, Model: l.Service, Version: l.Version})
	if trusted(checks) {
		return err
	}
	serving, readErr := engines.Serving(ctx, address)
	if readErr != nil {
		return errors.Join(err, readErr)
	}
	if serving.Version != l.Version && serving.Loading != l.Version {
		// A stale token proves nothing here, so the error must not look like one.
		return fmt.Errorf("%s: %w (%v)", address, errNotLoading, err)
	}
	return nil
}
