// Package objstore is the interface to the platform's object API and its HTTP client.
package objstore

import (
	"context"
	"errors"
)

// Errors of a Store.
var (
	// ErrNotFound means that no object has the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the condition of an update did not hold; nothing was written.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable means that the store was not reached; nothing was written.
	ErrUnavailable = errors.New("object store unavailable")
	// ErrUnknownResult means that the answer to a write was lost; it may have taken effect.
	ErrUnknownResult = errors.New("object store write result unknown")
)

// Object is a stored value with its version.
type Object struct {
	Key     string
	Version uint64 // rises with each write of the key; 0 means that the object does not exist
	Value   []byte // at most MaxValueBytes
}

// MaxValueBytes is the largest value the object API accepts.
const MaxValueBytes = 1 << 20

// Store is the object API. All methods return one of the errors above, wrapped or not.
type Store interface {
	// Get returns the object under key.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value when the current version of key is ifVersion (0: the key must not exist). It returns the new version.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	// List returns the objects whose keys have the prefix, in key order.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the version of key is above after and returns the object.
	Watch(ctx context.Context, key string, after uint64) (Object, error)
}
