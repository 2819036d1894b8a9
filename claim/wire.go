package claim

import (
	"fmt"
	"iter"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// callKind is the kind of the peer call that submits an operation to the owner of a slot.
const callKind = "claim"

type opKind uint8

const (
	opClaim opKind = iota + 1
	opComplete
	opUnknown
	opRelease
)

// operation changes the entry of a key. Repeating an operation has no further effect.
type operation struct {
	Kind          opKind    `cbor:"1,keyasint"`
	Slot          int       `cbor:"2,keyasint"`
	Key           Digest    `cbor:"3,keyasint"`
	Attempt       Digest    `cbor:"4,keyasint"`
	Body          Digest    `cbor:"5,keyasint"`
	Deadline      int64     `cbor:"6,keyasint"` // deadline of the call, Unix milliseconds
	TimeoutMillis int64     `cbor:"7,keyasint"` // the owner drops the operation after this time
	Response      *Response `cbor:"8,keyasint,omitempty"`
}

type verdict uint8

const (
	verdictGranted  verdict = iota + 1 // the requesting attempt holds the key
	verdictPending                     // another attempt holds the key
	verdictUnknown                     // another attempt may have run
	verdictDone                        // the key has a recorded outcome
	verdictReused                      // the key was used with another body
	verdictReleased                    // the requesting attempt was released before
	verdictRecorded                    // an outcome or release was recorded
	verdictBusy                        // the owner is still executing the operation; retry
)

// answer is the result of an operation.
type answer struct {
	Verdict  verdict   `cbor:"1,keyasint"`
	Response *Response `cbor:"2,keyasint,omitempty"`
}

type entryState uint8

const (
	statePending entryState = iota + 1
	stateDone
	stateUnknown
	stateReleased
)

// entry is the latest state of a key. A later entry for the same key replaces an earlier one.
type entry struct {
	_        struct{} `cbor:",toarray"`
	Key      Digest
	Attempt  Digest
	Body     Digest
	State    entryState
	Deadline int64 // deadline of the call, Unix milliseconds
	Response *Response
}

// segmentRef refers to a sealed segment.
type segmentRef struct {
	_    struct{} `cbor:",toarray"`
	Seq  uint64
	Last int64 // Unix seconds of the latest entry
	Size int   // bytes
}

// head is the value of a slot object. Each write contains the whole head, so the open segment is sealed early, into a
// small segment. Small segments are merged into large ones, which chunks list.
type head struct {
	Open    []entry      `cbor:"1,keyasint"`
	Small   []segmentRef `cbor:"2,keyasint"` // oldest first, newer than all large ones
	NextSeq uint64       `cbor:"3,keyasint"` // latest sequence number in use
	Chunks  []chunkRef   `cbor:"4,keyasint"` // oldest first
}

// chunkRef refers to a chunk.
type chunkRef struct {
	_     struct{} `cbor:",toarray"`
	Seq   uint64
	Last  int64 // Unix seconds of the latest entry
	Count int   // large segments listed
}

// chunk is an immutable object that lists large segments with their key hashes. A new owner reads the chunks instead
// of the segments: at the target load some 17 MB in 41 objects for each slot instead of 680 MB in 2,600.
type chunk struct {
	Segments []listedSegment `cbor:"1,keyasint"`
}

type listedSegment struct {
	_      struct{} `cbor:",toarray"`
	Ref    segmentRef
	Hashes []byte // 8 bytes for each key, big-endian, ascending
}

// state is a head with the large segments that its chunks list.
type state struct {
	head
	large []segmentRef // oldest first
}

// sealed returns all sealed segments, the newest first.
func (s *state) sealed() iter.Seq[segmentRef] {
	return func(yield func(segmentRef) bool) {
		for _, refs := range [][]segmentRef{s.Small, s.large} {
			for _, ref := range slices.Backward(refs) {
				if !yield(ref) {
					return
				}
			}
		}
	}
}

func encode(v any) []byte {
	data, err := cbor.Marshal(v)
	if err != nil {
		// All encoded types are plain data, so an error is a bug in this package.
		panic(fmt.Sprintf("claim: encode %T: %v", v, err))
	}
	return data
}

// newEntry returns the entry that records operation o in the given state.
func (o *operation) newEntry(state entryState) entry {
	return entry{Key: o.Key, Attempt: o.Attempt, Body: o.Body, State: state, Deadline: o.Deadline, Response: o.Response}
}

// size estimates the encoded size of an entry in bytes.
func (e *entry) size() int {
	const fixed = 70
	if e.Response == nil {
		return fixed
	}
	return fixed + 40 + len(e.Response.Body) + len(e.Response.ContentType)
}
