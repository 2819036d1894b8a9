package standin

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Forms of plain answers that are streams of events.
const (
	// EventAnswer is the last part of the path of plain requests whose answers are events with IDs.
	EventAnswer = "events"
	// UnnumberedAnswer is the last part of the path of plain requests whose answers are events without IDs.
	UnnumberedAnswer = "lines"
	// PlainAnswerEvents is the number of events of such an answer.
	PlainAnswerEvents = 6
)

// PlatformStream is the part of a stream that a run has generated.
type PlatformStream struct {
	// Run is the name of the run, which each of its events bears. A run that was moved keeps it.
	Run     string
	Request string // attempt ID
	Worker  string
	From    int      // number of the event after which the run began
	First   int      // number of the first event in Pieces
	Pieces  []string // events as they were written, in order
	Moved   bool     // the run was moved to the worker
}

// sealPrefix begins the seals of workers.
const sealPrefix = "seal."

// SealOf returns the seal that a worker puts on the answers to requests that it ran.
func SealOf(worker string) string { return sealPrefix + worker }

// SealedBy returns the ID of the worker that put a seal on an answer.
func SealedBy(seal string) string { return strings.TrimPrefix(seal, sealPrefix) }

// AnswerSeal returns the seal in the header of an answer; empty: none.
func AnswerSeal(h http.Header) string { return h.Get("X-Trefoillug-Response-Seal") }

// SignAnswer sets the headers that a worker puts on the answer to a request that it ran.
func SignAnswer(h http.Header, r *http.Request, worker string) {
	h.Set("X-Trefoillug-Instance-Id", worker)
	h.Set("X-Trefoillug-Attempt-Id", r.Header.Get("X-Trefoillug-Attempt-Id"))
	h.Set("X-Trefoillug-Response-Seal", SealOf(worker))
}

// PlatformObjectPath returns the path of an object in a PlatformStore.
func PlatformObjectPath(kind, name string) string { return "/trefoillug/objects/" + kind + "/" + name }

// workerStream is a stream in progress.
type workerStream struct {
	sent int
	run  string
	stop chan struct{}
}

func isStream(r *http.Request) bool { return r.Header.Get("X-Trefoillug-Token-Count") != "" }

// answerForm returns the form of a plain request's answer: EventAnswer, UnnumberedAnswer, or another text.
func answerForm(r *http.Request) string {
	return r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
}

// hasEvents reports whether the answer to a request is a stream of events.
func hasEvents(r *http.Request) bool {
	form := answerForm(r)
	return isStream(r) || form == EventAnswer || form == UnnumberedAnswer
}

// Streams returns what the worker's runs have generated so far.
func (u *PlatformWorker) Streams() []PlatformStream {
	u.mu.Lock()
	defer u.mu.Unlock()
	all := make([]PlatformStream, len(u.streams))
	for i, s := range u.streams {
		all[i] = *s
	}
	return all
}

// SetWeights sets the version of the worker's weights. The next event of each stream in progress says so.
func (u *PlatformWorker) SetWeights(version int64) { u.weights.Store(version) }

func (u *PlatformWorker) serveStream(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/event-stream")
	if err := u.writeEvents(r, flushingWriter(w)); err != nil {
		panic(http.ErrAbortHandler) // closes the stream before its end
	}
}

// errCrash and errMoved are the reasons for which a worker ends a stream early.
var (
	errCrash = errors.New("worker crashed")
	errMoved = errors.New("stream moved to another worker")
)

// lastEvent returns the number of the last event that the sender of a request has. It is 0 if it has none.
func lastEvent(r *http.Request) int {
	n, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	return n
}

// writeEvents writes the events of a request's stream that are left. It returns an error if the stream ended early.
func (u *PlatformWorker) writeEvents(r *http.Request, write func(text string) error) error {
	return u.writeEventsAfter(r, lastEvent(r), lastEvent(r), write)
}

// writeEventsAfter writes the events of a request's stream after the event number sent, by a run that names itself as
// begun after the event number from. It returns an error if the stream ended early.
func (u *PlatformWorker) writeEventsAfter(r *http.Request, from, sent int, write func(text string) error) error {
	id := r.Header.Get("X-Trefoillug-Attempt-Id")
	weights := u.weights.Load()
	s, record := u.beginStream(r, from, sent)
	defer func() {
		u.mu.Lock()
		delete(u.active, id)
		u.mu.Unlock()
	}()
	for first, events := true, u.eventCount(r); sent < events; first = false {
		select {
		case <-s.stop:
			return errMoved
		case <-r.Context().Done():
			return r.Context().Err()
		case <-time.After(u.EventTime * u.slowness()):
		}
		if block := u.deadlyBlock(r); first && block != "" {
			u.OnDeadlyBlock(block)
			return errCrash
		}
		sent++
		text := u.event(sent, r, s.run)
		if current := u.weights.Load(); current != weights {
			weights = current
			text = fmt.Sprintf("x-trefoillug-weight-versions: %d\n%s", weights, text)
		}
		u.mu.Lock()
		s.sent = sent
		record.Pieces = append(record.Pieces, text)
		u.mu.Unlock()
		if err := u.writePausing(text, write); err != nil {
			return err
		}
	}
	return nil
}

// handlePrefix begins the handles of moved runs. The name of the run follows.
const handlePrefix = "h-"

// beginStream adds a stream in progress and its record.
func (u *PlatformWorker) beginStream(r *http.Request, from, sent int) (*workerStream, *PlatformStream) {
	id := r.Header.Get("X-Trefoillug-Attempt-Id")
	u.mu.Lock()
	defer u.mu.Unlock()
	record := &PlatformStream{Run: fmt.Sprintf("%s.%d.%d", u.ID, len(u.streams)+1, from), Request: id, Worker: u.ID, From: from, First: sent + 1}
	if _, handle, moved := strings.Cut(r.Header.Get("Kv-From"), "/"+handlePrefix); moved {
		record.Run, record.Moved = handle, true
		_, begun, _ := strings.Cut(handle[strings.IndexByte(handle, '.')+1:], ".")
		record.From, _ = strconv.Atoi(begun) // the handle is one of a worker
	}
	s := &workerStream{sent: sent, run: record.Run, stop: make(chan struct{})}
	if u.active == nil {
		u.active = map[string]*workerStream{}
	}
	u.active[id] = s
	u.streams = append(u.streams, record)
	return s, record
}

// eventCount returns the number of events of a request's whole stream.
func (u *PlatformWorker) eventCount(r *http.Request) int {
	if !isStream(r) {
		return PlainAnswerEvents
	}
	_, output, _ := strings.Cut(r.Header.Get("X-Trefoillug-Token-Count"), ",")
	tokens, err := strconv.Atoi(output)
	if u.EventTokens == 0 || err != nil {
		return u.Events
	}
	return (tokens + u.EventTokens - 1) / u.EventTokens
}

func (u *PlatformWorker) event(n int, r *http.Request, run string) string {
	text := fmt.Sprintf("data: token %d%s\n\n", n, u.eventSuffix(r.Header.Get("X-Trefoillug-Attempt-Id"), run))
	if !isStream(r) && answerForm(r) == UnnumberedAnswer {
		return text
	}
	return fmt.Sprintf("id: %d\n%s", n, text)
}

func (u *PlatformWorker) eventSuffix(request, run string) string {
	switch {
	case u.NameRuns:
		return " of " + request + " by " + run
	case u.NameRequests:
		return " of " + request
	default:
		return ""
	}
}
