package graceful

import "context"

// BytesRead returns the bytes that have been read from the connection of a request with context ctx, and 0 if a server of
// another package serves it. Bytes of the next request may be among them.
func BytesRead(ctx context.Context) int64 {
	if c, ok := ctx.Value(connKey{}).(*conn); ok {
		return c.received.Load()
	}
	return 0
}
