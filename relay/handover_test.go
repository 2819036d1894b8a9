package relay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/standin"
)

// startEntries starts three connected relays, each in its own failure domain.
func (env *testEnv) startEntries() (relays []*Relay, urls []string, meshes []*fakeMesh) {
	n := &fakeNetwork{}
	for i := range 3 {
		id, domain := fmt.Sprint("e", i+1), fmt.Sprint("fd", i+1)
		m := n.join(id, domain)
		r, url := env.startRelay(Config{Instance: id, FailureDomain: domain, Mesh: m})
		relays, urls, meshes = append(relays, r), append(urls, url), append(meshes, m)
	}
	return relays, urls, meshes
}

// beginStream starts a stream and reads n of its events. It returns what it read, the last event ID and a scanner for
// the rest.
func beginStream(t *testing.T, url, prompt string, tokens, n int) (reply, string, *bufio.Scanner) {
	t.Helper()
	resp, err := http.Post(url+"/v1/chat/completions", "application/json",
		strings.NewReader(chatBody(prompt, tokens, true)))
	must.NoError(t, err)
	t.Cleanup(func() { resp.Body.Close() })
	lines, last := bufio.NewScanner(resp.Body), ""
	var head reply
	for n > 0 && lines.Scan() {
		head.body += lines.Text() + "\n"
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last = id
		}
		if strings.HasPrefix(lines.Text(), "data: ") {
			n--
		}
	}
	return head, last, lines
}

// Guards against streams lost when their entry instance is reclaimed. The caller can re-attach at any other instance
// and gets the rest of the answer, which reuses the engine's cache.
func TestDrain_ReclaimHandsOver(t *testing.T) {
	env := newTestEnv(t)
	a := env.startEngine("a", "fd1", slowEngine)
	relays, urls, meshes := env.startEntries()
	head, last, rest := beginStream(t, urls[0], "review", 200, 40)
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	must.NoError(t, relays[0].Drain(ctx, DrainReclaim))
	moved := ""
	for rest.Scan() {
		if id, ok := strings.CutPrefix(rest.Text(), "id: "); ok {
			last = id
		}
		if rest.Text() == "event: moved" {
			moved = rest.Text()
		}
		head.body += rest.Text() + "\n"
	}
	must.Eq(t, "event: moved", moved)
	meshes[0].kill()
	id, _, _ := strings.Cut(last, "/")
	for _, url := range urls[1:] {
		tail := send("GET", url+"/v1/requests/"+id, "", "Last-Event-ID", last)
		must.Eq(t, 200, tail.status, must.Sprint(tail.body))
		must.Eq(t, standin.EngineText(7, "review", 200), head.text()+tail.text())
		must.StrContains(t, tail.body, "data: [DONE]")
	}
	// The engine's prefix cache holds whole blocks of 16 tokens, so less than a block is recomputed.
	must.Less(t, 16, a.Counts().Recomputed)
}

// chatWithReattach reads a stream and re-attaches at the next instance when it is told to, by a moved event or, before
// the first event, by a redirect.
func chatWithReattach(urls []string, prompt string, tokens int) (text string, err error) {
	r, last := chat(urls[0], prompt, tokens), ""
	for i := 1 + len(prompt)%2; r.err == nil; i++ {
		text += r.text()
		if at := strings.LastIndex(r.body, "id: "); at >= 0 {
			last, _, _ = strings.Cut(r.body[at+len("id: "):], "\n")
		}
		if r.status != http.StatusSeeOther && !strings.Contains(r.body, "event: moved") {
			break
		}
		path := "/v1/requests/" + r.header.Get("X-Request-Id")
		r = send("GET", urls[i%len(urls)]+path, "", "Last-Event-ID", last)
	}
	if r.err == nil && !strings.Contains(r.body, "[DONE]") {
		return text, fmt.Errorf("status %d: %s", r.status, r.body)
	}
	return text, r.err
}

// Guards against streams lost when several entry instances are reclaimed one after the other, including streams that
// were handed over before and streams that are read through another instance.
func TestDrain_SequentialReclaims(t *testing.T) {
	env := newTestEnv(t)
	env.startEngine("a", "fd1", slowEngine)
	relays, urls, meshes := env.startEntries()
	const streams, tokens = 40, 400
	errs := make(chan error, streams)
	for i := range streams {
		go func() {
			// The length of the prompt decides whether the caller re-attaches at the second or third instance first.
			prompt := fmt.Sprint("review ", 100+i, strings.Repeat(" x", i%2), strings.Repeat("y", i%2))
			text, err := chatWithReattach(urls, prompt, tokens)
			if err == nil && text != standin.EngineText(7, prompt, tokens) {
				err = errors.New("text differs: " + text)
			}
			errs <- err
		}()
	}
	for i := range 2 {
		time.Sleep(400 * time.Millisecond)
		notice, cancel := context.WithTimeout(t.Context(), time.Second)
		must.NoError(t, relays[i].Drain(notice, DrainReclaim))
		cancel()
		time.Sleep(50 * time.Millisecond)
		meshes[i].kill()
		relays[i].Close()
	}
	for range streams {
		must.NoError(t, <-errs)
	}
}

// Guards against answers without streaming that are lost when their entry instance is reclaimed.
func TestDrain_ReclaimRedirectsJSON(t *testing.T) {
	env := newTestEnv(t)
	env.startEngine("a", "fd1", slowEngine)
	relays, urls, _ := env.startEntries()
	answer := make(chan reply, 1)
	go func() { answer <- send("POST", urls[0]+"/v1/chat/completions", chatBody("tag", 100, false)) }()
	time.Sleep(100 * time.Millisecond)
	must.NoError(t, relays[0].Drain(t.Context(), DrainReclaim))
	first := <-answer
	must.Eq(t, http.StatusSeeOther, first.status)
	r := send("GET", urls[1]+first.header.Get("Location"), "")
	must.StrContains(t, r.body, standin.EngineText(7, "tag", 100))
}

// Guards against a planned stop that cuts or hands over a stream, or that refuses a request that arrives meanwhile.
func TestDrain_PlannedStopCompletesStreams(t *testing.T) {
	env := newTestEnv(t)
	env.startEngine("a", "fd1", slowEngine)
	relays, urls, _ := env.startEntries()
	answers := make(chan reply, 2)
	go func() { answers <- chat(urls[0], "review", 150) }()
	time.Sleep(100 * time.Millisecond)
	go func() { time.Sleep(200 * time.Millisecond); answers <- chat(urls[0], "review", 150) }()
	must.NoError(t, relays[0].Drain(t.Context(), DrainPlanned))
	for range 2 {
		mustBeComplete(t, <-answers, "review", 150)
	}
}

// Guards against a caller that can't continue its stream after its entry instance was killed. It repeats the POST at
// another instance.
func TestKilledEntry_PostRepeated(t *testing.T) {
	env := newTestEnv(t)
	env.startEngine("a", "fd1", slowEngine)
	_, urls, meshes := env.startEntries()
	head, last, _ := beginStream(t, urls[0], "review", 100, 30)
	meshes[0].kill()
	id, _, _ := strings.Cut(last, "/")
	r := send("GET", urls[1]+"/v1/requests/"+id, "", "Last-Event-ID", last)
	must.Eq(t, 404, r.status)
	must.StrContains(t, r.body, `"kind":"unknown_request"`)
	tail := send("POST", urls[2]+"/v1/chat/completions", chatBody("review", 100, true), "Last-Event-ID", last)
	must.Eq(t, 200, tail.status)
	must.Eq(t, standin.EngineText(7, "review", 100), head.text()+tail.text())
}

// Guards against seeds that differ between instances, so that a repeated POST continues a different answer.
func TestKilledEntry_SeedFollowsRequestID(t *testing.T) {
	env := newTestEnv(t)
	env.startEngine("a", "fd1", slowEngine)
	_, urls, _ := env.startEntries()
	body := strings.Replace(chatBody("review", 10, true), `,"seed":7`, "", 1)
	first := send("POST", urls[0]+"/v1/chat/completions", body)
	again := send("POST", urls[1]+"/v1/chat/completions", body, "Last-Event-ID", first.header.Get("X-Request-Id")+"/4")
	must.StrHasSuffix(t, again.text(), first.text())
	must.Eq(t, 5, len(strings.Fields(again.text())))
}

// Guards against handovers that exceed the memory bound. They must be declined, and the stream stays where it is.
func TestHandover_Bounded(t *testing.T) {
	env := newTestEnv(t)
	env.startEngine("a", "fd1", slowEngine)
	n := &fakeNetwork{}
	r1, url := env.startRelay(Config{Instance: "e1", FailureDomain: "fd1", Mesh: n.join("e1", "fd1")})
	r2, _ := env.startRelay(Config{Instance: "e2", FailureDomain: "fd2", Mesh: n.join("e2", "fd2"), Limits: Limits{
		MaxRetainedBytes: 150 << 10,
	}})
	replies := runStreams(url, 4, 150, func() {
		must.Len(t, 4, r1.openSessions())
		r1.handOverAll(t.Context())
		must.Len(t, 2, r1.openSessions())
	})
	whole := 0
	for _, r := range replies {
		if strings.Contains(r.body, "[DONE]") {
			whole++
		}
	}
	must.Eq(t, 2, whole)
	r2.mu.Lock()
	defer r2.mu.Unlock()
	must.LessEq(t, 150<<10, r2.retainedBytes)
}
