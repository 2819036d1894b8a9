package progress_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/progress"
)

// Guards against an answer that is ended although it makes progress, and one that goes on without any.
func TestWatch_Cases(t *testing.T) {
	const gap, step = time.Second, 100 * time.Millisecond
	for name, c := range map[string]struct {
		record func(w *progress.Watch, step int) // called each 100 ms, from step 1
		stall  time.Duration                     // 0: none within 10 s
	}{
		"silence":               {func(*progress.Watch, int) {}, gap},
		"events":                {func(w *progress.Watch, n int) { recordEach(n, 9, w.RecordEvent) }, 0},
		"events too rare":       {func(w *progress.Watch, n int) { recordEach(n, 12, w.RecordEvent) }, gap},
		"comments while queued": {func(w *progress.Watch, n int) { recordEach(n, 9, w.RecordComment) }, 0},
		"comments after an event": {func(w *progress.Watch, n int) {
			if n == 5 {
				w.RecordEvent()
			}
			w.RecordComment()
		}, 5*step + gap},
		"a byte now and then": {func(w *progress.Watch, _ int) { w.RecordBody(1) }, gap},
		"slow body":           {func(w *progress.Watch, _ int) { w.RecordBody(progress.MinBodyRate / 8) }, 0},
		"body in two halves":  {func(w *progress.Watch, n int) { recordEach(n, 9, func() { w.RecordBody(100 << 10) }) }, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				var stalledAfter atomic.Int64
				w := progress.Start(gap, func() { stalledAfter.CompareAndSwap(0, int64(time.Since(start))) })
				time.Sleep(time.Millisecond) // records come just after the timer where both are due
				for n := 1; n <= 100; n++ {
					time.Sleep(step)
					c.record(w, n)
				}
				w.Stop()
				got := time.Duration(stalledAfter.Load())
				must.Between(t, c.stall, got, c.stall+2*time.Millisecond)
			})
		})
	}
}

func recordEach(n, every int, record func()) {
	if n%every == 0 {
		record()
	}
}

// Guards against a stall that is reported after the end of the answer.
func TestWatch_Stop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := progress.Start(time.Second, func() { t.Error("stalled after the end") })
		w.Stop()
		w.RecordEvent()
		time.Sleep(5 * time.Second)
	})
}
