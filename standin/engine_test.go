package standin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/engine"
)

func post(t *testing.T, h http.Handler, path string, body any, header ...string) *httptest.ResponseRecorder {
	t.Helper()
	b, err := json.Marshal(body)
	must.NoError(t, err)
	r := httptest.NewRequest(http.MethodPost, path, bytes.NewReader(b))
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func get[T any](t *testing.T, h http.Handler, path string) (v T) {
	t.Helper()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	must.NoError(t, json.Unmarshal(w.Body.Bytes(), &v))
	return v
}

func chatRequest(prompt string, tokens int) engine.ChatRequest {
	return engine.ChatRequest{Messages: []engine.Message{{Content: prompt}}, MaxTokens: tokens, Seed: 1}
}

func runChat(t *testing.T, e *Engine, id string, req engine.ChatRequest) string {
	return post(t, e, engine.PathChat, req, engine.HeaderRequestID, id, engine.HeaderAttemptID, id).Body.String()
}

// Guards against resumed answers that differ from uninterrupted ones, and against a resume with the text of another
// answer.
func TestEngine_ResumeEqualsUninterrupted(t *testing.T) {
	e := NewEngine(EngineConfig{DecodeStep: time.Millisecond})
	req := chatRequest("wash and press", 12)
	req.Resume = &engine.Resume{Offset: 5, Text: EngineText(1, "wash and press", 5)}
	var text strings.Builder
	for line := range strings.Lines(runChat(t, e, "r", req)) {
		var event engine.StreamEvent
		if data, ok := strings.CutPrefix(line, "data: "); ok {
			must.NoError(t, json.Unmarshal([]byte(data), &event))
			text.WriteString(event.Content)
		}
	}
	must.Eq(t, EngineText(1, "wash and press", 12), req.Resume.Text+text.String())
	must.Eq(t, 8, e.Counts().Recomputed)
	req.Resume.Text = "other"
	must.StrContains(t, runChat(t, e, "r2", req), errResumeText.Error())
}

// Guards against a prefix cache that never hits, never evicts, or reports its events without delay and loss.
func TestEngine_PrefixCache(t *testing.T) {
	e := NewEngine(EngineConfig{DecodeStep: time.Millisecond, CacheTokens: 96, EventLag: 200 * time.Millisecond})
	long := strings.Repeat("pickup note ", 100)
	runChat(t, e, "a", chatRequest(long, 1))
	must.StrContains(t, runChat(t, e, "b", chatRequest(long, 1)), `"cached_tokens":0`)
	short := strings.Repeat("bundle tag ", 40)
	runChat(t, e, "c", chatRequest(short, 1))
	must.StrContains(t, runChat(t, e, "d", chatRequest(short, 1)), `"cached_tokens":80`)
	must.SliceEmpty(t, get[[]engine.CacheEvent](t, e, engine.PathEvents+"?after=20"))
	time.Sleep(250 * time.Millisecond)
	events := get[[]engine.CacheEvent](t, e, engine.PathEvents)
	must.Less(t, int(events[len(events)-1].ID), len(events))
}

// Guards against waiting requests that get their slots in order of arrival instead of priority.
func TestSlots_Priority(t *testing.T) {
	s := newSlots(1)
	first, low, high := s.request(0), s.request(0), s.request(2)
	<-first
	s.release()
	<-high
	select {
	case <-low:
		t.Fatal("low priority got the slot")
	default:
	}
	s.abandon(low)
	s.release()
	running, waiting := s.load()
	must.Eq(t, 0, running+waiting)
}

// Guards against an engine that accepts stale orders though it checks fencing tokens, or rejects them though it doesn't.
func TestEngine_OrderFencing(t *testing.T) {
	for fencing, status := range map[bool]int{true: http.StatusPreconditionFailed, false: http.StatusNoContent} {
		t.Run(fmt.Sprint("fencing ", fencing), func(t *testing.T) {
			e := NewEngine(EngineConfig{Fencing: fencing})
			must.Eq(t, http.StatusNoContent, post(t, e, engine.PathOrders, engine.Order{Fence: 2, Version: "v2"}).Code)
			must.Eq(t, status, post(t, e, engine.PathOrders, engine.Order{Fence: 1, Version: "v1"}).Code)
		})
	}
}

// Guards against load reports that are newer than LoadLag.
func TestEngine_LoadLags(t *testing.T) {
	e := NewEngine(EngineConfig{LoadLag: 100 * time.Millisecond})
	first := get[engine.LoadReport](t, e, engine.PathLoad)
	granted := e.slots.request(0)
	<-granted
	must.Eq(t, 0, get[engine.LoadReport](t, e, engine.PathLoad).Running)
	time.Sleep(120 * time.Millisecond)
	late := get[engine.LoadReport](t, e, engine.PathLoad)
	must.Greater(t, first.AtMS-1, late.AtMS)
	must.Eq(t, 1, late.Running)
}

// Guards against services that miscount runs, or run an idempotency key again though they check keys.
func TestService_CountsRuns(t *testing.T) {
	for check, runs := range map[bool]int{true: 1, false: 2} {
		s := NewService(ServiceConfig{CheckKey: check})
		for range 2 {
			post(t, s, "/book", "x", "Idempotency-Key", "k")
		}
		must.Eq(t, runs, get[ServiceCounts](t, s, "/counts").ByKey["k"])
	}
}
