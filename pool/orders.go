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
	"github.com/trefoillug/trefoillug/progress"
)

// orderTimeout is the time after which an order in transit has arrived or is lost.
const orderTimeout = 5 * time.Second

var (
	// ErrStaleToken means that an engine has received a higher fencing token.
	ErrStaleToken = errors.New("order rejected: stale fencing token")
	// errTooEarly means that orders of the previous holder may still arrive.
	errTooEarly = errors.New("orders of the previous holder may still arrive")
	// errNotLoading means that an engine neither serves nor loads the version that it was ordered to load.
	errNotLoading = errors.New("engine does not load the ordered version")
)

// Engines sends orders to model engines.
type Engines interface {
	// Order sends an order. It returns ErrStaleToken, wrapped or not, when the engine rejects its token.
	Order(ctx context.Context, address string, o engine.Order) error
	// Serving returns the version that the engine serves and the one that it loads.
	Serving(ctx context.Context, address string) (engine.Serving, error)
}

// EngineClient implements Engines over HTTP.
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
	if err := progress.CheckStatus(resp.StatusCode); err != nil {
		return fmt.Errorf("order to %s: %w", address, err)
	}
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
	if err := progress.DecodeJSON(resp.Body, &s); err != nil {
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

// enforcesFencing reports whether an engine reliably rejects stale tokens. It must authenticate the sender, since
// otherwise anyone may have sent it any token.
func enforcesFencing(c config.EndpointChecks) bool { return c.Fencing && c.Sender }

// sendOrder orders an engine to load a version. An order names the version, so it is idempotent. An engine that doesn't
// enforce fencing gets no order until those of the previous holder have arrived, and its state is read back.
func sendOrder(ctx context.Context, engines Engines, g lease.Grant, checks config.EndpointChecks, address string, l Load) error {
	if !enforcesFencing(checks) && time.Now().Before(g.PreviousEnd.Add(orderTimeout)) {
		return errTooEarly
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := engines.Order(ctx, address, engine.Order{Fence: g.Token, Model: l.Service, Version: l.Version})
	if enforcesFencing(checks) {
		return err
	}
	serving, readErr := engines.Serving(ctx, address)
	if readErr != nil {
		return errors.Join(err, readErr)
	}
	if serving.Version != l.Version && serving.Loading != l.Version {
		// Such an engine's rejection of the token proves nothing, so ErrStaleToken must not be wrapped here.
		return fmt.Errorf("%s: %w (%v)", address, errNotLoading, err)
	}
	return nil
}
