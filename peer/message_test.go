package peer

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// sampleMessages returns valid messages of several kinds.
func sampleMessages() []*message {
	m := Member{ID: "a", Address: "10.0.0.1:7100", FailureDomain: "d", Region: "r", Incarnation: 7}
	return []*message{
		{Kind: kindHello, Hello: &hello{Member: m, Start: 5, Facts: 2, CallsOnly: true}},
		{Kind: kindPing, Seq: 9},
		{Kind: kindDelta, Facts: []wireFact{{Origin: "a", Key: "k", Version: 1 << 62, Value: []byte("v"), TTL: 1500}}},
		{Kind: kindDigest, Digest: &digest{Step: digestBuckets, Buckets: make([]uint32, bucketCount)}},
		{Kind: kindDigest, Digest: &digest{Step: digestPairs, Listed: []uint8{3}, Pairs: []uint64{1, 2}}},
		{Kind: kindCall, Call: &call{ID: 3, Kind: "echo", Body: []byte("x"), Timeout: 100}},
		{Kind: kindReply, Reply: &reply{ID: 3, Failure: replyFailed, Text: "no"}},
	}
}

// Guards against messages that the other side can't decode or decodes differently.
func TestDecodeMessage_RoundTrip(t *testing.T) {
	for _, m := range sampleMessages() {
		got, err := decodeMessage(encodeMessage(m))
		must.NoError(t, err)
		must.Eq(t, m, got)
	}
}

// invalidMessages returns messages that can be encoded but must be rejected.
func invalidMessages() []*message {
	long := strings.Repeat("x", maxKeyBytes+1)
	return []*message{
		{Kind: kindEnd},
		{Kind: kindHello, Hello: &hello{}},
		{Kind: kindDelta, Facts: []wireFact{{Origin: "a", Key: long}}},
		{Kind: kindDelta, Facts: []wireFact{{Origin: "a", Key: "k", TTL: 1 << 63}}},
		{Kind: kindDigest, Digest: &digest{Step: digestBuckets, Buckets: []uint32{1}}},
		{Kind: kindDigest, Digest: &digest{Step: digestPairs, Pairs: []uint64{1}}},
		{Kind: kindCall},
	}
}

// Guards against messages that decode but are incomplete or exceed a limit.
func TestDecodeMessage_Invalid(t *testing.T) {
	for _, m := range invalidMessages() {
		_, err := decodeMessage(encodeMessage(m))
		must.Error(t, err, must.Sprintf("%+v", m))
	}
}

// Guards against input from the network that crashes the decoder or the state machine, or bypasses a limit.
func FuzzDecodeMessage(f *testing.F) {
	for _, m := range append(sampleMessages(), invalidMessages()...) {
		f.Add(encodeMessage(m))
	}
	f.Add([]byte{})
	f.Add([]byte{0xa1, 0x01, 0x04})
	f.Add([]byte{0x9f, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := decodeMessage(b)
		if err != nil {
			return
		}
		must.NoError(t, m.check())
		receiveMessage(m)
	})
}
