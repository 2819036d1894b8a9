package standin_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/standin"
)

// exchange sends a call on a new connection with further header fields and returns what the worker answers.
func exchange(t *testing.T, address string, call standin.PlatformCall, header map[string]string) (status int, body string, err error) {
	t.Helper()
	req, err := call.Request(t.Context(), address)
	must.NoError(t, err)
	req.Header.Set("X-Trefoillug-Expect-Instance", workerID)
	for name, value := range header {
		req.Header.Set(name, value)
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

func startWorker(t *testing.T, oddities *standin.Oddities) (worker *standin.PlatformWorker, address string) {
	t.Helper()
	worker = &standin.PlatformWorker{ID: workerID, Events: 6, EventTime: time.Microsecond, NameRequests: true, NameRuns: true, Oddities: oddities}
	server := httptest.NewServer(worker)
	t.Cleanup(server.Close)
	return worker, server.Listener.Addr().String()
}

// Guards against odd answers that are not those of the table, or that look whole though they break off.
func TestPlatformWorker_OddAnswers(t *testing.T) {
	const after = 3
	oddities := standin.NewOddities(1)
	oddities.Set(true)
	worker, address := startWorker(t, oddities)
	firstIDs := map[string]func(id int) bool{
		"from event 1":     func(id int) bool { return id == 1 },
		"skipped events":   func(id int) bool { return id > after+1 },
		"last event again": func(id int) bool { return id == after },
		"broken stream":    func(id int) bool { return id == after+1 },
	}
	statuses := map[string]int{"204": 204, "302": 302, "404": 404, "429": 429, "429 with proof": 429, "503": 503, "503 with proof": 503, "500": 500}
	before, whole := oddities.Counts(), map[string]bool{}
	for n := range 1500 {
		call := standin.PlatformCall{ID: fmt.Sprintf("b%d", n), Route: "notes", Stream: true, Prompt: 100, Output: 10, After: after}
		runs := len(worker.Runs())
		status, body, err := exchange(t, address, call, nil)
		name := ""
		for counted, times := range oddities.Counts() {
			if times > before[counted] {
				name = counted
			}
		}
		before = oddities.Counts()
		whole[name] = whole[name] || err == nil
		if want := statuses[name]; want != 0 && status != 0 {
			must.Eq(t, want, status, must.Sprint(name))
		}
		var id int
		if _, err := fmt.Sscanf(body, "id: %d\n", &id); err == nil && firstIDs[name] != nil {
			must.True(t, firstIDs[name](id), must.Sprint(name, body))
		}
		ran := len(worker.Runs()) > runs
		must.Eq(t, !strings.HasSuffix(name, "with proof"), ran, must.Sprint(name))
	}
	must.MapLen(t, 17, whole) // the table, streams that break off, and sound answers
	for name, seen := range whole {
		must.Eq(t, name != "broken stream" && name != "broken head", seen, must.Sprint(name))
	}
}

// Guards against oddities of workers whose continuations should be sound, and of workers without any.
func TestOddities_Off(t *testing.T) {
	oddities := standin.NewOddities(1)
	_, address := startWorker(t, oddities)
	call := standin.PlatformCall{ID: "b", Route: "notes", Stream: true, Prompt: 100, Output: 10, After: 3}
	for range 50 {
		_, _, err := exchange(t, address, call, nil)
		must.NoError(t, err)
	}
	must.MapLen(t, 0, oddities.Counts())
	oddities.Set(true)
	oddities.ContinueSoundly()
	for range 200 {
		_, _, _ = exchange(t, address, call, nil) // some break off
	}
	must.MapLen(t, 2, oddities.Counts())
	must.MapContainsKeys(t, oddities.Counts(), []string{"broken stream", "half head"})
}

// Guards against runs whose record is not what they wrote, and against moved runs under a name of their own.
func TestPlatformWorker_Streams(t *testing.T) {
	worker, address := startWorker(t, nil)
	call := standin.PlatformCall{ID: "b1", Route: "notes", Stream: true, Prompt: 100, Output: 10}
	_, first, err := exchange(t, address, call, nil)
	must.NoError(t, err)
	call.After = 4
	_, rest, err := exchange(t, address, call, nil)
	must.NoError(t, err)
	_, moved, err := exchange(t, address, call, map[string]string{"Kv-From": "127.0.0.1:1/h-" + workerID + ".1.0"})
	must.NoError(t, err)
	streams := worker.Streams()
	must.Len(t, 3, streams)
	for n, body := range []string{first, rest, moved} {
		must.Eq(t, body, strings.Join(streams[n].Pieces, ""))
	}
	must.Eq(t, []int{0, 4, 0}, []int{streams[0].From, streams[1].From, streams[2].From})
	must.Eq(t, []int{1, 5, 5}, []int{streams[0].First, streams[1].First, streams[2].First})
	must.Eq(t, streams[0].Run, streams[2].Run)
	must.NotEq(t, streams[0].Run, streams[1].Run)
	must.StrHasSuffix(t, moved, first)
}

// Guards against plain answers in the form of streams that have IDs where they should not, or none where they should.
func TestPlatformWorker_PlainEvents(t *testing.T) {
	_, address := startWorker(t, nil)
	for _, form := range []string{standin.EventAnswer, standin.UnnumberedAnswer} {
		_, body, err := exchange(t, address, standin.PlatformCall{ID: "b1", Route: "look", Form: form}, nil)
		must.NoError(t, err)
		must.Eq(t, standin.PlainAnswerEvents, strings.Count(body, "data: "))
		must.Eq(t, form == standin.EventAnswer, strings.Contains(body, "id: 1\n"))
	}
}

// Guards against new weights that the stream in progress doesn't name, and against a move that takes a run away before
// its last call.
func TestPlatformWorker_RunInProgress(t *testing.T) {
	worker, address := startWorker(t, nil)
	worker.EventTime = 50 * time.Millisecond
	req, err := standin.PlatformCall{ID: "b1", Route: "notes", Stream: true, Prompt: 100, Output: 10}.Request(t.Context(), address)
	must.NoError(t, err)
	req.Header.Set("X-Trefoillug-Expect-Instance", workerID)
	resp, err := http.DefaultTransport.RoundTrip(req)
	must.NoError(t, err)
	defer resp.Body.Close()
	worker.SetWeights(7)
	in := bufio.NewReader(resp.Body)
	line := ""
	for line != "x-trefoillug-weight-versions: 7\n" {
		line, err = in.ReadString('\n')
		must.NoError(t, err)
	}
	for _, last := range []bool{false, true} {
		text, err := json.Marshal(map[string]any{"id": "b1", "last": last})
		must.NoError(t, err)
		answer, err := http.Post("http://"+address+"/trefoillug/kv-move", "application/json", strings.NewReader(string(text)))
		must.NoError(t, err)
		must.NoError(t, answer.Body.Close())
		must.Eq(t, http.StatusOK, answer.StatusCode)
	}
	body, err := io.ReadAll(in)
	must.Error(t, err) // the stream has moved
	must.StrHasPrefix(t, "id: ", string(body))
	must.StrNotContains(t, string(body), line)
}
