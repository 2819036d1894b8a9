package relay

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/standin"
)

// engineAnswer returns an engine's answer to an attempt that continues after the given number of tokens.
func (h *halfAnswer) engineAnswer(request, attempt string, after int, header ...string) *standin.RawBytes {
	var b strings.Builder
	event := func(seq int, content, finish string) {
		// Encoding cannot fail.
		text, _ := json.Marshal(engine.StreamEvent{RequestID: request, AttemptID: attempt, Seq: seq, Content: content, FinishReason: finish})
		fmt.Fprintf(&b, "data: %s\n\n", text)
	}
	for seq := after; seq < len(rawTokens); seq++ {
		event(seq, rawTokens[seq], "")
	}
	event(len(rawTokens), "", engine.FinishStop)
	return h.Bytes(b.String(), header...)
}

// rawTokens is the text of the answer of the engines.
var rawTokens = []string{"a"}

// Guards against an answer of an engine that ends early and looks whole, is not continued by another engine, or is not
// taken for the crash that it may be. Answers end after each of their bytes, closed or reset.
func TestGenerate_HalfAnswers(t *testing.T) {
	eachHalfAnswer(t, func(t *testing.T, h *halfAnswer) {
		if !h.Events {
			return // engines answer with event streams
		}
		answerWith := func(header ...string) func(req *http.Request) *standin.RawBytes {
			return func(req *http.Request) *standin.RawBytes {
				var body engine.ChatRequest
				must.NoError(t, json.NewDecoder(req.Body).Decode(&body))
				after := 0
				if body.Resume != nil {
					after = body.Resume.Offset
				}
				return h.engineAnswer(req.Header.Get(engine.HeaderRequestID), req.Header.Get(engine.HeaderAttemptID), after, header...)
			}
		}
		h.bytes, h.whole = answerWith(), answerWith("Connection: close")
		raw := h.engineAnswer("e1.0000", "0000", 0) // IDs have the same length in each answer
		finished := strings.Index(raw.Text, engine.FinishStop)
		finished += strings.Index(raw.Text[finished:], "\n") + 1
		env, url, address := h.start(t)
		for n := range len(raw.Text) + 1 {
			crashes := len(env.crashRequestCounts())
			h.cutAt(env, "wording", address, n)
			got := chat(url, fmt.Sprintf("prompt %d", n), 10)
			arrivals := h.arrivalCount()
			what := must.Sprintf("%q, then got %+v, %d arrivals", raw.Text[:n], got, arrivals)
			must.NoError(t, got.err, what)
			must.Eq(t, http.StatusOK, got.status, what)
			must.Eq(t, strings.Join(rawTokens, ""), got.text(), what)
			must.StrContains(t, got.body, "data: [DONE]", what)
			if n >= finished {
				must.Eq(t, 1, arrivals, what)
			} else if h.times == 1 {
				must.Eq(t, 2, arrivals, what)
				must.Eq(t, crashes+1, len(env.crashRequestCounts()), what)
			}
		}
	})
}
