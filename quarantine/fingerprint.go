// Package quarantine detects requests that crash the endpoints that run them. It does no I/O and reads no clock: time
// is passed as a parameter, and facts for the peers are returned to the caller, who publishes them.
package quarantine

import (
	"bytes"
	"encoding/json"
	"io"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a digest of the content of a request. Requests with the same content under different IDs share it.
type Fingerprint uint64

// volatileFields are the top-level fields of a JSON body that may differ between repeats of the same content and don't
// affect how the engine runs it.
var volatileFields = []string{
	"user", "metadata", "stream", "stream_options", "request_id", "idempotency_key", "safety_identifier",
}

// FingerprintOf returns the fingerprint of a request. In a JSON object the order of keys, white space and volatile
// fields are ignored; any other body is hashed byte for byte.
func FingerprintOf(service, route string, body []byte) Fingerprint {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(service), []byte(route), canonical(body)} {
		// Digest writes never fail. The zero byte separates the parts.
		_, _ = d.Write(part)
		_, _ = d.Write([]byte{0})
	}
	return Fingerprint(d.Sum64())
}

func canonical(body []byte) []byte {
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.UseNumber()
	var fields map[string]any
	if err := dec.Decode(&fields); err != nil || fields == nil {
		return body
	}
	if _, err := dec.Token(); err != io.EOF {
		return body
	}
	for _, name := range volatileFields {
		delete(fields, name)
	}
	// Marshal writes the keys of maps in sorted order.
	out, err := json.Marshal(fields)
	if err != nil {
		return body
	}
	return out
}
