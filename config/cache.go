package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// objectKind is the kind of an immutable object.
type objectKind int

const (
	serviceObject objectKind = iota
	shardObject
)

// objectID identifies an immutable object by its kind and digest.
type objectID struct {
	Kind   objectKind `cbor:"1,keyasint"`
	Digest Digest     `cbor:"2,keyasint"`
}

func (id objectID) key() string {
	if id.Kind == shardObject {
		return shardKey(id.Digest)
	}
	return serviceKey(id.Digest)
}

// cache holds verified immutable objects, both decoded and as the encoded bytes that are served to peers.
type cache struct {
	raw     map[objectID][]byte
	shards  map[Digest]*shard
	service map[Digest]*Service
}

func newCache() *cache {
	return &cache{raw: map[objectID][]byte{}, shards: map[Digest]*shard{}, service: map[Digest]*Service{}}
}

// add verifies and decodes an object. It returns an error that wraps ErrCorrupt when the bytes do not match the digest
// in id or can't be decoded.
func (c *cache) add(id objectID, object []byte) error {
	if err := verify(object, id.Digest); err != nil {
		return err
	}
	if id.Kind == shardObject {
		s, err := decodeShard(object)
		if err != nil {
			return err
		}
		c.shards[id.Digest] = s
	} else {
		s, err := decodeService(object)
		if err != nil {
			return err
		}
		c.service[id.Digest] = s
	}
	c.raw[id] = object
	return nil
}

// missing returns the objects of a head that still have to be fetched: shards, and the services listed in the shards
// that the cache already holds.
func (c *cache) missing(h *Head) []objectID {
	var missing []objectID
	for _, id := range c.objectsOf(h) {
		if c.raw[id] == nil {
			missing = append(missing, id)
		}
	}
	return missing
}

func (c *cache) objectsOf(h *Head) []objectID {
	var ids []objectID
	for _, d := range h.Shards {
		if d == (Digest{}) {
			continue
		}
		ids = append(ids, objectID{shardObject, d})
		if s := c.shards[d]; s != nil {
			for _, e := range s.Entries {
				ids = append(ids, objectID{serviceObject, e.Digest})
			}
		}
	}
	return ids
}

// services returns the services of a head, sorted by name. All objects of the head must be in the cache. Services that
// did not change keep their pointers.
func (c *cache) services(h *Head) []*Service {
	var services []*Service
	for _, d := range h.Shards {
		if d == (Digest{}) {
			continue
		}
		for _, e := range c.shards[d].Entries {
			services = append(services, c.service[e.Digest])
		}
	}
	slices.SortFunc(services, func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
	return services
}

// String returns the form used in error messages.
func (id objectID) String() string { return fmt.Sprintf("object %s", id.key()) }

// retain drops the objects that none of the heads references.
func (c *cache) retain(heads ...*Head) {
	referenced := map[objectID]bool{}
	for _, h := range heads {
		if h == nil {
			continue
		}
		for _, id := range c.objectsOf(h) {
			referenced[id] = true
		}
	}
	maps.DeleteFunc(c.raw, func(id objectID, _ []byte) bool { return !referenced[id] })
	maps.DeleteFunc(c.shards, func(d Digest, _ *shard) bool { return !referenced[objectID{shardObject, d}] })
	maps.DeleteFunc(c.service, func(d Digest, _ *Service) bool { return !referenced[objectID{serviceObject, d}] })
}
