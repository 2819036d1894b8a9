package forward_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// lineEnds are the ends that a line of an event stream may have.
var lineEnds = map[string]string{"LF": "\n", "CR LF": "\r\n", "CR": "\r"}

// Guards against a stream that is refused, cut or delayed because of the ends of its lines, wherever it is divided.
func TestServe_LineEnds(t *testing.T) {
	for name, end := range lineEnds {
		text := strings.ReplaceAll(": queued\n\n"+event(1)+event(2)+event(3), "\n", end)
		for _, size := range []int{1, 2, 3, 5, len(text)} {
			t.Run(fmt.Sprint(name, ", chunks of ", size), func(t *testing.T) {
				w := newHarness(t, 1, func(a *arrival) {
					a.stream()
					for rest := text; rest != ""; rest = rest[min(size, len(rest)):] {
						a.chunk(rest[:min(size, len(rest))])
					}
					a.end()
				})
				got := w.send(t.Context(), "stream")
				must.NoError(t, got.broken)
				must.Eq(t, text, got.body.String())
			})
		}
	}
}

// Guards against a stream whose position is not found because of the ends of its lines, so that it is not continued.
func TestServe_LineEndsOfContinuedStream(t *testing.T) {
	for name, end := range lineEnds {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, 2, func(a *arrival) {
				a.stream()
				if a.after == "" {
					a.chunk(strings.ReplaceAll(event(1)+event(2), "\n", end) + "id: 3")
					_ = a.conn.Close()
					return
				}
				if a.after != "2" {
					t.Errorf("resumed after event %q", a.after)
				}
				a.chunk(strings.ReplaceAll(event(3), "\n", end))
				a.end()
			})
			got := w.send(t.Context(), "resume")
			must.NoError(t, got.broken)
			must.Eq(t, strings.ReplaceAll(event(1)+event(2)+event(3), "\n", end), got.body.String())
		})
	}
}

// Guards against a complete stream that is cut because of empty lines after its last event, and one that counts as complete
// although it ends within an event.
func TestServe_LinesAfterLastEvent(t *testing.T) {
	for name, c := range map[string]struct {
		tail  string
		whole bool
	}{
		"none": {"", true}, "LF": {"\n", true}, "CR LF": {"\r\n", true}, "several": {"\n\r\n\r", true},
		"within an event": {"id: 2\ndata: 2", false}, "no blank line": {"id: 2\ndata: 2\n", false}, "no blank line, CR": {"id: 2\rdata: 2\r", false},
	} {
		t.Run(name, func(t *testing.T) {
			w := newHarness(t, 1, func(a *arrival) {
				a.stream()
				a.chunk(event(1) + c.tail)
				a.end()
			})
			got := w.send(t.Context(), "stream")
			must.Eq(t, c.whole, got.broken == nil)
			if c.whole {
				must.Eq(t, event(1)+c.tail, got.body.String())
			} else {
				must.Eq(t, event(1), got.body.String())
			}
		})
	}
}
