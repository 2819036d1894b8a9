// Package objstore defines the interface to the platform's object API and implements it over HTTP.
package objstore

import (
	"context"
	"errors"
)

// Errors returned by a Store.
var (
	// ErrNotFound means that there is no object under the key.
	ErrNotFound = errors.New("object not found")
	// ErrConflict means that the current version of the object is not the one that a Put requires; nothing was
	// written. See Client.Put for the exception.
	ErrConflict = errors.New("object version conflict")
	// ErrUnavailable means that the store could not be reached or refused the call; nothing was written.
	ErrUnavailable = errors.New("object store unavailable")
	// ErrUnknownResult means that the response to a write was lost; the write may have taken effect.
	ErrUnknownResult = errors.New("object store write result unknown")
)

// Object is a stored value with its version.
type Object struct {
	Key     string
	Version uint64 // increases with each write of the key; 0 means that the object does not exist
	Value   []byte // at most MaxValueBytes
}

// MaxValueBytes is the maximum size of a value in the object API.
const MaxValueBytes = 1 << 20

// Store is the object API. Every error returned by its methods is, or wraps, ErrNotFound, ErrConflict, ErrUnavailable
// or ErrUnknownResult.
type Store interface {
	// Get returns the object under key.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes value if the current version of key is ifVersion, where 0 means that the key must not exist. It
	// returns the new version.
	Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	// List returns the objects whose keys start with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Watch waits until the version of key is greater than after and returns the object.
	Watch(ctx context.Context, key string, after uint64) (Object, error)
}
