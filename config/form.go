package config

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

const (
	// HeadKey is the key of the head, the only configuration object that changes.
	HeadKey = "config/head"
	// ShardCount is the number of shards. It keeps a shard near 16 KB at 5,000 services. After a change a reader
	// fetches only the head, one shard and the changed service.
	ShardCount = 16
	// recentWrites is the number of earlier write IDs that a head lists. A publisher finds its own write there after
	// others have published on top of it. 16 writes cover five minutes at 4,800 changes a day.
	recentWrites = 16
)

// ErrCorrupt means that the content of an object does not match its digest or can't be decoded.
var ErrCorrupt = errors.New("configuration object corrupt")

// Digest is the SHA-256 of an object's bytes. The zero value stands for a shard without services.
type Digest [sha256.Size]byte

// String returns the digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

func digestOf(object []byte) Digest { return sha256.Sum256(object) }

func serviceKey(d Digest) string { return "config/service/" + d.String() }

func shardKey(d Digest) string { return "config/shard/" + d.String() }

// Head identifies the accepted configuration.
type Head struct {
	Revision uint64             `cbor:"1,keyasint"` // rises by one with each publish
	Shards   [ShardCount]Digest `cbor:"2,keyasint"`
	WriteID  string             `cbor:"3,keyasint"` // ID of the publish that wrote this head
	Recent   []string           `cbor:"4,keyasint"` // write IDs of the preceding revisions, latest first
}

// revisionOf returns the revision that a publish wrote, and false when the head does not list its write ID.
func (h *Head) revisionOf(writeID string) (uint64, bool) {
	if h.WriteID == writeID {
		return h.Revision, true
	}
	i := slices.Index(h.Recent, writeID)
	if i < 0 {
		return 0, false
	}
	return h.Revision - uint64(i) - 1, true
}

// next returns the successor of h. A zero h represents a store without configuration.
func (h *Head) next(writeID string) Head {
	n := Head{Revision: h.Revision + 1, Shards: h.Shards, WriteID: writeID}
	if h.Revision > 0 {
		n.Recent = append([]string{h.WriteID}, h.Recent[:min(len(h.Recent), recentWrites-1)]...)
	}
	return n
}

// shard lists the services whose names hash to it, sorted by name.
type shard struct {
	Entries []shardEntry `cbor:"1,keyasint"`
}

type shardEntry struct {
	Name   string `cbor:"1,keyasint"`
	Digest Digest `cbor:"2,keyasint"`
}

func shardOf(service string) int { return int(xxhash.Sum64String(service) % ShardCount) }

func (s *shard) find(name string) (int, bool) {
	return slices.BinarySearchFunc(s.Entries, name, func(e shardEntry, n string) int { return cmp.Compare(e.Name, n) })
}

func (s *shard) get(name string) (Digest, bool) {
	i, found := s.find(name)
	if !found {
		return Digest{}, false
	}
	return s.Entries[i].Digest, true
}

func (s *shard) set(name string, d Digest) {
	i, found := s.find(name)
	if found {
		s.Entries[i].Digest = d
		return
	}
	s.Entries = slices.Insert(s.Entries, i, shardEntry{Name: name, Digest: d})
}

func (s *shard) remove(name string) bool {
	i, found := s.find(name)
	if found {
		s.Entries = slices.Delete(s.Entries, i, i+1)
	}
	return found
}

// encoder is deterministic, so that equal content has equal digests.
var encoder = mustEncoder()

func mustEncoder() cbor.EncMode {
	opts := cbor.CoreDetEncOptions()
	opts.Time = cbor.TimeRFC3339NanoUTC
	mode, err := opts.EncMode()
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

func encodeService(s *Service) ([]byte, error) { return encoder.Marshal(s) }

func decodeService(object []byte) (*Service, error) {
	var s Service
	if err := decodeObject(object, &s); err != nil {
		return nil, err
	}
	if s.Move != nil {
		s.Move.Start, s.Move.Deadline = s.Move.Start.UTC(), s.Move.Deadline.UTC()
	}
	return &s, nil
}

func decodeHead(object []byte) (*Head, error) {
	var h Head
	if err := decodeObject(object, &h); err != nil {
		return nil, err
	}
	if h.Revision == 0 || h.WriteID == "" {
		return nil, fmt.Errorf("%w: head without revision or write ID", ErrCorrupt)
	}
	return &h, nil
}

func decodeShard(object []byte) (*shard, error) {
	var s shard
	if err := decodeObject(object, &s); err != nil {
		return nil, err
	}
	if !slices.IsSortedFunc(s.Entries, func(a, b shardEntry) int { return strings.Compare(a.Name, b.Name) }) {
		return nil, fmt.Errorf("%w: shard not sorted", ErrCorrupt)
	}
	return &s, nil
}

func decodeObject(object []byte, v any) error {
	if err := cbor.Unmarshal(object, v); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return nil
}

// verify returns an error that wraps ErrCorrupt when object does not have the expected digest.
func verify(object []byte, want Digest) error {
	if got := digestOf(object); got != want {
		return fmt.Errorf("%w: digest %s, want %s", ErrCorrupt, got, want)
	}
	return nil
}
