package node

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// peerCallTimeout bounds calls to peers that no request waits for.
const peerCallTimeout = time.Second

// empty is a call or reply without content.
type empty struct{}

// callPeer sends a call of the given kind to a peer and decodes its reply. It returns an error if the peer does not
// answer before ctx ends, and the error of the peer's handler if that fails.
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
		return reply, fmt.Errorf("decode reply to %s: %w", kind, err)
	}
	return reply, nil
}

// handleCalls registers the handler of calls of the given kind.
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
