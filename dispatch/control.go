package dispatch

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/progress"
	"github.com/trefoillug/trefoillug/table"
)

// cancelTimeout bounds a cancel call, which is best effort: closing the stream cancels the attempt too.
const cancelTimeout = time.Second

// ErrNoAttempt means that the engine doesn't run the attempt: it has ended, or the request has not arrived yet.
var ErrNoAttempt = errors.New("engine does not run the attempt")

// Cancel asks an engine to stop an attempt.
func (c *Client) Cancel(e *table.Endpoint, ref engine.AttemptRef) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	// The call may fail because the engine has stopped, and then the attempt has ended as well.
	_ = c.post(ctx, e, engine.PathCancel, ref, nil)
}

// ExportKV ends an attempt at the engine and returns its KV cache. The error wraps ErrNoAttempt when the engine
// doesn't run the attempt.
func (c *Client) ExportKV(ctx context.Context, e *table.Endpoint, ref engine.AttemptRef) (*engine.KV, error) {
	var kv engine.KV
	if err := c.post(ctx, e, engine.PathKVExport, ref, &kv); err != nil {
		return nil, err
	}
	if kv.RequestID != ref.RequestID {
		return nil, fmt.Errorf("%s at %s: KV cache of request %q: %w", engine.PathKVExport, e.ID, kv.RequestID, errOtherRequest)
	}
	return &kv, nil
}

// ImportKV sends a KV cache to an engine.
func (c *Client) ImportKV(ctx context.Context, e *table.Endpoint, kv *engine.KV) error {
	return c.post(ctx, e, engine.PathKVImport, kv, nil)
}

func (c *Client) post(ctx context.Context, e *table.Endpoint, path string, in, out any) error {
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.pool(e).current().transport.RoundTrip(req)
	if err != nil {
		return fmt.Errorf("%s at %s: %w", path, e.ID, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotFound {
		return fmt.Errorf("%s at %s: %w", path, e.ID, ErrNoAttempt)
	}
	if err := progress.CheckStatus(resp.StatusCode); err != nil {
		return fmt.Errorf("%s at %s: %w", path, e.ID, err)
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		return fmt.Errorf("%s at %s: status %d", path, e.ID, resp.StatusCode)
	}
	if out == nil {
		return nil
	}
	return progress.DecodeJSON(resp.Body, out)
}
