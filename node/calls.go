package node

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// peerCallTime bounds a call of a peer for which no request waits.
const peerCallTime = time.Second

// none is a call or reply without content.
type none struct{}

// callPeer sends a call of a kind to a peer and returns its reply. It fails when the peer does not answer in the time of
// ctx, and with the error that the peer's handler returned.
func callPeer[Reply any](ctx context.Context, n *Node, to, kind string, call any) (Reply, error) {
	var reply Reply
	body, err := cbor.Marshal(call)
	if err != nil {
		return reply, fmt.Errorf("encode call %s: %w", kind, err)
	}
	answer, err := n.mesh.Call(ctx, to, kind, body)
	if err != nil {
		return reply, err
	}
	if err := cbor.Unmarshal(answer, &reply); err != nil {
		return reply, fmt.Errorf("decode answer to %s: %w", kind, err)
	}
	return reply, nil
}

// handleCalls answers the calls of a kind.
func handleCalls[Call, Reply any](n *Node, kind string, handle func(Call) (Reply, error)) {
	n.mesh.Handle(kind, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		var call Call
		if err := cbor.Unmarshal(body, &call); err != nil {
			return nil, fmt.Errorf("decode call %s: %w", kind, err)
		}
		reply, err := handle(call)
		if err != nil {
			return nil, err
		}
		return cbor.Marshal(reply)
	})
}
