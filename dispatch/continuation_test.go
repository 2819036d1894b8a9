package dispatch_test

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/continuation"
	"github.com/trefoillug/trefoillug/dispatch"
	"github.com/trefoillug/trefoillug/engine"
)

// Guards against a stream joined of two runs, or with a hole: an endpoint that is to go on after the caller's events begins
// at another one, at the first one, or ends there.
func TestStream_ContinuationFollows(t *testing.T) {
	const first = 2
	for name, c := range map[string]struct {
		seqs  []int // the last event is the end
		cause continuation.Cause
	}{
		"next events":             {seqs: []int{2, 3, 4}},
		"nothing left":            {seqs: []int{2}},
		"next events, one twice":  {seqs: []int{2, 2, 3, 4}},
		"hole":                    {seqs: []int{4, 5, 6}, cause: continuation.Gap},
		"hole before the end":     {seqs: []int{3}, cause: continuation.Gap},
		"last event again":        {seqs: []int{1, 2, 3, 4}, cause: continuation.StepBack},
		"from the start":          {seqs: []int{0, 1, 2, 3, 4}, cause: continuation.StepBack},
		"end before the position": {seqs: []int{1}, cause: continuation.StepBack},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			address := serveRaw(t, func(conn net.Conn, req *http.Request) {
				startStream(conn)
				// An event of an abandoned attempt tells nothing of this one.
				_, _ = fmt.Fprintf(conn, "data: {\"request_id\":\"r\",\"attempt_id\":\"old\",\"seq\":0,\"content\":\"x\"}\n\n")
				for i, seq := range c.seqs {
					finish := ""
					if i == len(c.seqs)-1 {
						finish = engine.FinishStop
					}
					writeEvent(conn, req, seq, finish)
				}
				_ = conn.Close()
			})
			client := dispatch.New(dispatch.Settings{})
			defer client.Close()
			call := streamCall(endpoint(address), "r", 10)
			call.First = first
			var got []int
			r := client.Stream(t.Context(), call, func(e *engine.StreamEvent) error { got = append(got, e.Seq); return nil })
			if c.cause == "" {
				must.Eq(t, dispatch.Complete, r.End, must.Sprint(r.Err))
				must.Eq(t, first, got[0])
				must.SliceLen(t, c.seqs[len(c.seqs)-1]-first+1, got)
				return
			}
			must.Eq(t, dispatch.InvalidStream, r.End, must.Sprint(r.Err))
			must.SliceEmpty(t, got)
			var refused *continuation.Error
			must.True(t, errors.As(r.Err, &refused))
			must.Eq(t, c.cause, refused.Cause)
			must.Eq(t, "1", refused.Position)
			must.Eq(t, strconv.Itoa(c.seqs[0]), refused.Offered)
		})
	}
}
