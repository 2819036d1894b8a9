package forward

import (
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/upstream"
)

// countedMemory counts the bytes that are held.
type countedMemory int

func (m *countedMemory) TryAdd(n int) bool { *m += countedMemory(n); return true }
func (m *countedMemory) Remove(n int)      { *m -= countedMemory(n) }

// discardAnswer is a caller that reads everything.
type discardAnswer struct{ ResponseWriter }

func (discardAnswer) WriteHead(int, http.Header, int64) {}
func (discardAnswer) Write(b []byte) (int, error)       { return len(b), nil }

// readFunc is the rest of an answer.
type readFunc func(b []byte) (int, error)

func (f readFunc) Read(b []byte) (int, error) { return f(b) }

// Guards against the start of a long answer that stays counted while its rest is relayed, by which callers that read slowly use
// up the memory for answers.
func TestRelayLong_ReleasesStart(t *testing.T) {
	var memory countedMemory
	held := &heldAnswer{memory: &memory}
	must.NoError(t, held.read(readFunc(func(b []byte) (int, error) { return len(b), nil }), maxBuffered+1))
	must.Positive(t, int(memory))
	r := &exchange{w: discardAnswer{}}
	reply := &upstream.Reply{Body: readFunc(func([]byte) (int, error) {
		must.Eq(t, 0, memory)
		return 0, io.EOF
	})}
	out := r.relayLong(t.Context(), &answer{body: held.body}, held, reply)
	must.True(t, out.delivered)
}
