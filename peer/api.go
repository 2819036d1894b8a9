// Package peer connects the entry instances with each other. It maintains their membership with failure detection,
// disseminates versioned facts to all members and carries direct calls between two members.
package peer

import (
	"context"
	"strings"
	"time"
)

// Member is an entry instance.
type Member struct {
	ID            string `cbor:"1,keyasint"`
	Address       string `cbor:"2,keyasint"` // host:port of the peer listener
	FailureDomain string `cbor:"3,keyasint"`
	Region        string `cbor:"4,keyasint"`
	Incarnation   uint64 `cbor:"5,keyasint"` // rises with each start and each refuted suspicion
	Leaving       bool   `cbor:"6,keyasint"`
}

// Fact is a versioned value that is disseminated to every member. For each origin and key, only the highest version
// counts.
type Fact struct {
	Origin  string        `cbor:"1,keyasint"` // member that published it; empty: shared, see Node.PublishShared
	Key     string        `cbor:"2,keyasint"`
	Version uint64        `cbor:"3,keyasint"`
	Value   []byte        `cbor:"4,keyasint"`
	TTL     time.Duration `cbor:"5,keyasint"` // remaining lifetime when sent; 0: valid until replaced
}

// isShared reports whether the fact belongs to no member and is none of package peer itself.
func (f *Fact) isShared() bool { return f.Origin == "" && !strings.HasPrefix(f.Key, reservedPrefix) }

// Handler runs a direct call from the member with ID from and returns the body of the reply.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Mesh is the interface through which other packages exchange facts and calls with other members.
type Mesh interface {
	// Self returns this member.
	Self() Member
	// Members returns the live members, this one included, sorted by ID.
	Members() []Member
	// Publish disseminates value under key with this member as origin; a later call replaces an earlier one.
	Publish(key string, value []byte, ttl time.Duration)
	// Subscribe calls fn for each fact from another member whose key has the prefix; fn must not block.
	Subscribe(keyPrefix string, fn func(Fact))
	// Handle registers the handler of a call kind. It must be called before the mesh starts.
	Handle(kind string, h Handler)
	// Call sends body to a member and waits for its reply. It fails when the member isn't reachable.
	Call(ctx context.Context, member, kind string, body []byte) ([]byte, error)
}
