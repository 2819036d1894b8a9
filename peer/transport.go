package peer

import "context"

// Transport opens connections to other members. Implementations are safe for concurrent use.
type Transport interface {
	// Dial connects to the peer listener at address (host:port).
	Dial(ctx context.Context, address string) (Conn, error)
}

// Conn carries whole messages in order. Send and Receive may be called concurrently, each from one goroutine.
type Conn interface {
	// Send blocks until the message is written to the network. It fails when that takes too long.
	Send(message []byte) error
	// Receive blocks until a message arrives or the connection is closed.
	Receive() ([]byte, error)
	// Close makes pending calls of Send and Receive return. It may be called repeatedly.
	Close() error
}
