package peer

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

// Size limits of the messages that a member accepts from another one.
const (
	maxMessageBytes = 2 << 20  // a call body of MaxBodyBytes (1 MiB and 64 KiB) with its envelope, and a margin
	maxDeltaBytes   = 16 << 10 // size at which a message with facts is sent and the next one started
	maxNameBytes    = 128
	maxKeyBytes     = 256
	maxValueBytes   = 8 << 10
	maxArrayLen     = 8192
)

type messageKind uint8

const (
	kindHello messageKind = iota + 1
	kindPing
	kindPong
	kindDelta
	kindDigest
	kindCall
	kindReply
	kindEnd
)

// message is the envelope of all data that two members exchange.
type message struct {
	Kind   messageKind `cbor:"1,keyasint"`
	Seq    uint64      `cbor:"2,keyasint,omitempty"` // sequence number of a ping or pong
	Hello  *hello      `cbor:"3,keyasint,omitempty"`
	Facts  []wireFact  `cbor:"4,keyasint,omitempty"`
	Digest *digest     `cbor:"5,keyasint,omitempty"`
	Call   *call       `cbor:"6,keyasint,omitempty"`
	Reply  *reply      `cbor:"7,keyasint,omitempty"`
}

// hello is the first message of each side of a connection.
type hello struct {
	Member    Member `cbor:"1,keyasint"`
	Start     uint64 `cbor:"2,keyasint"`           // start of the process, milliseconds since 1970
	Facts     int    `cbor:"3,keyasint"`           // number of facts held
	CallsOnly bool   `cbor:"4,keyasint,omitempty"` // the connection carries calls and no facts
}

// wireFact is the compact encoding of a Fact.
type wireFact struct {
	_       struct{} `cbor:",toarray"`
	Origin  string
	Key     string
	Version uint64
	Value   []byte
	TTL     uint64 // remaining lifetime in milliseconds; 0: valid until replaced
}

// digest is a message of the comparison of two members' fact sets. The comparison takes up to three steps (root hash,
// bucket hashes, and the facts of some buckets); a member then requests the facts that it lacks or has in a lower
// version.
type digest struct {
	Step    uint8    `cbor:"1,keyasint"`
	Root    uint64   `cbor:"2,keyasint,omitempty"`
	Buckets []uint32 `cbor:"3,keyasint,omitempty"` // hash of each bucket
	Listed  []uint8  `cbor:"4,keyasint,omitempty"` // buckets whose facts are in Pairs
	Pairs   []uint64 `cbor:"5,keyasint,omitempty"` // fact ID and version, alternating
	Want    []uint64 `cbor:"6,keyasint,omitempty"` // IDs of the facts that the sender requests
}

const (
	digestRoot uint8 = iota + 1
	digestBuckets
	digestPairs
	digestWant
	digestEnd
)

// call is a request to run a handler.
type call struct {
	ID      uint64 `cbor:"1,keyasint"`
	Kind    string `cbor:"2,keyasint"`
	Body    []byte `cbor:"3,keyasint"`
	Timeout uint64 `cbor:"4,keyasint,omitempty"` // milliseconds; 0: none
}

// reply is the result of the call with the same ID on the same connection.
type reply struct {
	ID      uint64    `cbor:"1,keyasint"`
	Body    []byte    `cbor:"2,keyasint,omitempty"`
	Failure replyCode `cbor:"3,keyasint,omitempty"`
	Text    string    `cbor:"4,keyasint,omitempty"`
}

type replyCode uint8

const (
	replyOK replyCode = iota
	replyFailed
	replyNoHandler
	replyBusy
)

var (
	encMode = mustMode(cbor.EncOptions{Sort: cbor.SortNone}.EncMode())
	decMode = mustMode(cbor.DecOptions{
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		MaxNestedLevels:  8,
		MaxArrayElements: maxArrayLen,
		MaxMapPairs:      32,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}.DecMode())
)

// mustMode returns v and panics if its construction failed.
func mustMode[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

func encodeMessage(m *message) []byte {
	b, err := encMode.Marshal(m)
	if err != nil {
		// Every field has a CBOR encoding, so an error is a bug.
		panic(err)
	}
	return b
}

// decodeMessage decodes a message. It returns an error if the message is incomplete or exceeds a limit.
func decodeMessage(b []byte) (*message, error) {
	if len(b) > maxMessageBytes {
		return nil, oops.Errorf("peer message of %d bytes exceeds %d", len(b), maxMessageBytes)
	}
	m := &message{}
	if err := decMode.Unmarshal(b, m); err != nil {
		return nil, oops.Wrapf(err, "decoding a peer message")
	}
	if err := m.check(); err != nil {
		return nil, err
	}
	return m, nil
}

// check returns an error if the content for the kind of the message is missing, malformed or exceeds a limit.
func (m *message) check() error {
	present := m.Hello != nil
	switch m.Kind {
	case kindHello:
		if present {
			return m.Hello.check()
		}
	case kindPing, kindPong:
		present = true
	case kindDelta:
		return checkFacts(m.Facts)
	case kindDigest:
		if present = m.Digest != nil; present {
			return m.Digest.check()
		}
	case kindCall:
		present = m.Call != nil && len(m.Call.Kind) <= maxNameBytes
	case kindReply:
		present = m.Reply != nil
	}
	if !present {
		return oops.Errorf("peer message of kind %d is incomplete", m.Kind)
	}
	return nil
}

func (h *hello) check() error {
	return h.Member.check()
}

func (m *Member) check() error {
	if m.ID == "" || len(m.ID) > maxNameBytes || len(m.Address) > maxNameBytes ||
		len(m.FailureDomain) > maxNameBytes || len(m.Region) > maxNameBytes {
		return oops.Errorf("member name, address, failure domain or region is empty or longer than %d bytes", maxNameBytes)
	}
	return nil
}

func checkFacts(facts []wireFact) error {
	for i := range facts {
		f := &facts[i]
		if len(f.Origin) > maxNameBytes || len(f.Key) > maxKeyBytes || len(f.Value) > maxValueBytes {
			return oops.Errorf("fact %q of %q exceeds a size limit", f.Key, f.Origin)
		}
		if f.TTL > uint64(math.MaxInt64/time.Millisecond) {
			return oops.Errorf("fact %q of %q has a TTL out of range", f.Key, f.Origin)
		}
	}
	return nil
}

func (d *digest) check() error {
	if d.Step == 0 || d.Step >= digestEnd || len(d.Pairs)%2 != 0 {
		return oops.Errorf("digest of step %d is malformed", d.Step)
	}
	if d.Step == digestBuckets && len(d.Buckets) != bucketCount {
		return oops.Errorf("digest has %d buckets, want %d", len(d.Buckets), bucketCount)
	}
	return nil
}
