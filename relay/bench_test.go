package relay

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/cloud"
	"github.com/trefoillug/trefoillug/engine"
	"github.com/trefoillug/trefoillug/standin"
)

const (
	benchStreams = 200
	benchTokens  = 64
	// benchMaxRatio bounds the time of a stream through the relay, as a multiple of a direct call, at 200 concurrent
	// streams.
	benchMaxRatio = 1.3
)

var benchClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchStreams, DisableCompression: true}}

// streamOnce runs one stream and returns its duration and the time to its first event.
func streamOnce(b *testing.B, url, body, id string) (total, first time.Duration) {
	start := time.Now()
	req, err := http.NewRequest(http.MethodPost, url+engine.PathChat, strings.NewReader(body))
	must.NoError(b, err)
	req.Header.Set(engine.HeaderRequestID, id)
	req.Header.Set(engine.HeaderAttemptID, id)
	resp, err := benchClient.Do(req)
	must.NoError(b, err)
	defer resp.Body.Close()
	must.Eq(b, http.StatusOK, resp.StatusCode)
	lines, events := bufio.NewScanner(resp.Body), 0
	for lines.Scan() {
		if bytes.HasPrefix(lines.Bytes(), []byte("data: {")) {
			if events == 0 {
				first = time.Since(start)
			}
			events++
		}
	}
	must.NoError(b, lines.Err())
	must.Eq(b, benchTokens+1, events)
	return time.Since(start), first
}

// runRound runs benchStreams streams concurrently and returns the medians of their times.
func runRound(b *testing.B, url, body, name string) (total, first time.Duration) {
	totals, firsts := make([]time.Duration, benchStreams), make([]time.Duration, benchStreams)
	var all sync.WaitGroup
	for i := range benchStreams {
		all.Go(func() { totals[i], firsts[i] = streamOnce(b, url, body, name+strconv.Itoa(i)) })
	}
	all.Wait()
	return median(totals), median(firsts)
}

func median[T time.Duration | float64](v []T) T {
	v = slices.Clone(v)
	slices.Sort(v)
	return v[len(v)/2]
}

// BenchmarkPath compares the median time of 200 concurrent streams through the relay with direct calls to the same
// engine, alternating in one run.
func BenchmarkPath(b *testing.B) {
	env := newTestEnv(b)
	e := env.startEngine("a", "fd1", standin.EngineConfig{Slots: 2 * benchStreams, DecodeStep: 20 * time.Millisecond})
	direct := "http://" + env.serve(e)
	_, url := env.startRelay(Config{})
	body := chatBody("review the history", benchTokens, true)
	runRound(b, url, body, "warm")
	runRound(b, direct, body, "warm")
	var ratios, added, firsts []float64
	for b.Loop() {
		dTotal, dFirst := runRound(b, direct, body, "direct")
		rTotal, rFirst := runRound(b, url, body, "relay")
		ratios = append(ratios, float64(rTotal)/float64(dTotal))
		added = append(added, float64(rTotal-dTotal)/float64(time.Millisecond))
		firsts = append(firsts, float64(rFirst-dFirst)/float64(time.Millisecond))
	}
	b.ReportMetric(median(ratios), "x-direct")
	b.ReportMetric(median(added), "ms-added")
	b.ReportMetric(median(firsts), "ms-first-added")
	if got := median(ratios); got > benchMaxRatio {
		b.Errorf("streams through the relay take %.2f times the direct time, target %.1f", got, benchMaxRatio)
	}
}

// cannedEngine answers streams immediately, so that the work of the relay dominates.
func cannedEngine(w http.ResponseWriter, r *http.Request) {
	out := bufio.NewWriterSize(w, 64<<10)
	ref := engine.AttemptRef{
		RequestID: r.Header.Get(engine.HeaderRequestID), AttemptID: r.Header.Get(engine.HeaderAttemptID)}
	for i := range benchTokens + 1 {
		event := engine.StreamEvent{RequestID: ref.RequestID, AttemptID: ref.AttemptID, Seq: i, Content: "word "}
		if i == benchTokens {
			event.Content, event.FinishReason = "", engine.FinishStop
		}
		line, _ := json.Marshal(event)
		_, _ = out.WriteString("data: " + string(line) + "\n\n")
	}
	_ = out.Flush()
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkThroughput measures the requests per second of one CPU core, including callers and a trivial engine.
func BenchmarkThroughput(b *testing.B) {
	env := newTestEnv(b)
	srv := httptest.NewServer(http.HandlerFunc(cannedEngine))
	b.Cleanup(srv.Close)
	env.addInstance(cloud.Instance{ID: "a", Address: strings.TrimPrefix(srv.URL, "http://"), Service: "wording"})
	_, url := env.startRelay(Config{})
	body := chatBody("tag", benchTokens, true)
	cpu := cpuTime()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			streamOnce(b, url, body, "")
		}
	})
	b.ReportMetric(float64(b.N)/(cpuTime()-cpu).Seconds(), "req/core-s")
}

// BenchmarkMemory measures the memory that a stream in progress adds to the process if it goes through the relay: the
// relay's connections to the caller and the engine, and the other ends of these connections, which the caller and the
// stand-in engine hold in the same process.
func BenchmarkMemory(b *testing.B) {
	env := newTestEnv(b)
	env.startEngine("a", "fd1", standin.EngineConfig{Slots: 2 * benchStreams, DecodeStep: 100 * time.Millisecond})
	direct := "http://" + env.serve(env.engines["a"])
	_, url := env.startRelay(Config{})
	for b.Loop() {
		relayed, baseline := streamMemory(b, url), streamMemory(b, direct)
		b.ReportMetric(float64(relayed-baseline)/benchStreams/1024, "KB/stream")
	}
}

// streamMemory returns by how many bytes the memory in use grows while benchStreams streams are in progress.
func streamMemory(b *testing.B, url string) int64 {
	before := memoryInUse()
	ctx, cancel := context.WithCancel(b.Context())
	var all sync.WaitGroup
	for i := range benchStreams {
		all.Go(func() {
			req, _ := http.NewRequestWithContext(ctx, http.MethodPost, url+engine.PathChat,
				strings.NewReader(chatBody("review", benchTokens, true)))
			req.Header.Set(engine.HeaderAttemptID, strconv.Itoa(i))
			if resp, err := benchClient.Do(req); err == nil {
				_, _ = bufio.NewReader(resp.Body).ReadString(0)
				resp.Body.Close()
			}
		})
	}
	time.Sleep(2 * time.Second)
	used := memoryInUse() - before
	cancel()
	all.Wait()
	time.Sleep(500 * time.Millisecond)
	return used
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
