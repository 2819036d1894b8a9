// Package quarantine detects requests that crash the endpoints that run them. It does no I/O and reads no clock: time
// is passed as a parameter, and facts for the peers are returned to the caller, who publishes them.
package quarantine

import (
	"encoding/binary"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a digest of what identifies requests.
type Fingerprint uint64

// Content is what a caller sends. Requests with the same content under different request IDs are repeats of each other.
type Content struct {
	Host   string // in lower case, without the port
	Method string
	Path   string
	Query  string
	Caller string // whatever identifies the caller, such as an API key
	// Header holds the headers that endpoints get, without those that differ between repeats.
	Header map[string][]string
	Body   []byte
}

// Identity tells requests apart.
type Identity struct {
	// Request is the fingerprint of the whole content. A harmless request that differs from a deadly one in anything that
	// endpoints get has another one.
	Request Fingerprint
	// Family leaves out the query and the headers, in which repeats may differ by a time or a number that their caller adds.
	Family Fingerprint
}

// Identity returns the identity of the content. Bodies are compared byte for byte: what a field of a body means is known to
// the application only.
func (c Content) Identity() Identity {
	d := digest{}
	d.Reset()
	d.writePart([]byte("family"))
	for _, part := range []string{c.Host, c.Method, c.Path, c.Caller} {
		d.writePart([]byte(part))
	}
	d.writePart(c.Body)
	id := Identity{Family: Fingerprint(d.Sum64())}
	d.writePart([]byte(c.Query))
	for _, name := range slices.Sorted(maps.Keys(c.Header)) {
		d.writePart([]byte(name))
		d.writeLength(len(c.Header[name]))
		for _, value := range c.Header[name] {
			d.writePart([]byte(value))
		}
	}
	id.Request = Fingerprint(d.Sum64())
	return id
}

// digest hashes parts with their lengths, so that no two lists of parts are hashed as the same bytes. Writes never fail.
type digest struct{ xxhash.Digest }

func (d *digest) writePart(b []byte) {
	d.writeLength(len(b))
	_, _ = d.Write(b)
}

func (d *digest) writeLength(n int) {
	var length [8]byte
	binary.BigEndian.PutUint64(length[:], uint64(n))
	_, _ = d.Write(length[:])
}
