package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// objectKind tells the two kinds of immutable objects apart.
type objectKind int

const (
	serviceObject objectKind = iota
	shardObject
)

// objectID names an immutable object.
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

// cache holds verified immutable objects, both decoded and as the bytes that peers ask for.
type cache struct {
	raw     map[objectID][]byte
	shards  map[Digest]*shard
	service map[Digest]*Service
}

func newCache() *cache {
	return &cache{raw: map[objectID][]byte{}, shards: map[Digest]*shard{}, service: map[Digest]*Service{}}
}

// add verifies and decodes an object. It returns an error with ErrCorrupt when the bytes are not what id names.
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

// missing returns the objects of a head that still have to be fetched: first shards, then, as far as the shards
// are known, services.
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

// services returns the services of a head without missing objects, by name. Services that did not change keep
// their pointers.
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

// String names an object in errors.
func (id objectID) String() string { return fmt.Sprintf("object %s", id.key()) }

// retain drops the objects that none of the heads names.
func (c *cache) retain(heads ...*Head) {
	keep := map[objectID]bool{}
	for _, h := range heads {
		if h == nil {
			continue
		}
		for _, id := range c.objectsOf(h) {
			keep[id] = true
		}
	}
	maps.DeleteFunc(c.raw, func(id objectID, _ []byte) bool { return !keep[id] })
	maps.DeleteFunc(c.shards, func(d Digest, _ *shard) bool { return !keep[objectID{shardObject, d}] })
	maps.DeleteFunc(c.service, func(d Digest, _ *Service) bool { return !keep[objectID{serviceObject, d}] })
}
