package memlimit

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

var start = time.Unix(1000, 0)

// receive makes a holder receive n bytes, which it keeps.
func receive(t *testing.T, a *Account, now time.Time, h *Hold, n int64) {
	t.Helper()
	must.True(t, a.TryGrow(h, n))
	a.RecordProgress(now, h, int(n))
}

// Guards against a crowd of stalled bodies that keeps an ordinary request out, and against giving up a body that makes
// progress, one that holds little, or one that is complete, in place of the stalled ones.
func TestAccount_EvictsMostMemoryForLeastProgress(t *testing.T) {
	a := New(1000 << 10)
	stalled, small, complete := a.Open(start, 1, nil), a.Open(start, 1, nil), a.Open(start, 1, nil)
	receive(t, a, start, stalled, 400<<10)
	receive(t, a, start, small, 4<<10)
	receive(t, a, start, complete, 300<<10)
	a.Complete(complete)
	later := start.Add(5 * time.Second)
	active := a.Open(later, 1, nil)
	receive(t, a, later, active, 290<<10)
	next := a.Open(later, 1, nil)
	must.False(t, a.TryGrow(next, 64<<10))
	w, victims := a.Wait(later, next, 64<<10)
	must.Eq(t, []*Hold{stalled}, victims)
	must.True(t, stalled.IsEvicted())
	a.Close(stalled)
	<-w.Granted
	must.Eq(t, 64<<10, next.Bytes())
	must.Eq(t, (4+300+290+64)<<10, a.Used())
}

// Guards against a body that evicts others although it is the one that holds most memory for least progress itself.
func TestAccount_WorstEvictsNobody(t *testing.T) {
	a := New(1000)
	worst, other := a.Open(start, 0, nil), a.Open(start, 0, nil)
	receive(t, a, start, worst, 700)
	receive(t, a, start, other, 300)
	w, victims := a.Wait(start.Add(time.Second), worst, 700)
	must.Len(t, 0, victims)
	must.False(t, a.Cancel(w))
	must.Eq(t, 1000, a.Used())
}

// Guards against evicting more than a wait needs, when several wait at once.
func TestAccount_CountsEvictionsInProgress(t *testing.T) {
	a := New(1000)
	for range 10 {
		receive(t, a, start, a.Open(start, 0, nil), 100)
	}
	later := start.Add(5 * time.Second)
	evicted := 0
	for range 3 {
		_, victims := a.Wait(later, a.Open(later, 0, nil), 50)
		evicted += len(victims)
	}
	must.Eq(t, 2, evicted)
}

// Guards against memory that goes to whoever asks first after a release, in place of the most urgent one that waits.
func TestAccount_UrgentWaitersFirst(t *testing.T) {
	a := New(100)
	full := a.Open(start, 0, nil)
	receive(t, a, start, full, 100)
	a.Complete(full)
	relaxed, urgent, latecomer := a.Open(start, 5, nil), a.Open(start, 1, nil), a.Open(start, 5, nil)
	w5, _ := a.Wait(start, relaxed, 60)
	w1, _ := a.Wait(start, urgent, 60)
	a.Shrink(full, 70)
	<-w1.Granted
	must.False(t, a.TryGrow(latecomer, 1))
	must.False(t, a.Cancel(w5))
	must.True(t, a.TryGrow(latecomer, 1))
	must.True(t, a.Cancel(w1))
}

// Guards against bodies that trickle and keep their memory while it is short, and against giving up slow bodies in calm.
func TestAccount_EvictStalled(t *testing.T) {
	a := New(1000 << 10)
	trickle := a.Open(start, 0, nil)
	must.True(t, a.TryGrow(trickle, 100<<10))
	for i := range 50 {
		a.RecordProgress(start.Add(time.Duration(i)*100*time.Millisecond), trickle, 50)
	}
	now := start.Add(5 * time.Second)
	must.Len(t, 0, a.EvictStalled(now))
	full := a.Open(now, 0, nil)
	receive(t, a, now, full, 800<<10)
	must.Eq(t, []*Hold{trickle}, a.EvictStalled(now))
	must.Nil(t, a.EvictOneStalled(now.Add(time.Second)))
	must.Eq(t, full, a.EvictOneStalled(now.Add(stallTime)))
}

// Guards against held answers that keep requests from being read, and against a sum that drifts.
func TestAccount_AnswersHaveAShare(t *testing.T) {
	a := New(1000)
	must.True(t, a.TryAdd(500))
	must.False(t, a.TryAdd(1))
	h := a.Open(start, 0, nil)
	must.True(t, a.TryGrow(h, 500))
	a.Close(h)
	a.Close(h)
	a.Remove(500)
	must.Eq(t, 0, a.Used())
}

// Measures the search for bodies to evict, which runs under the lock for each request that waits for memory.
func BenchmarkWait(b *testing.B) {
	a := New(1000 << 10)
	for range 1000 {
		h := a.Open(start, 1, nil)
		a.TryGrow(h, 1<<10)
		a.RecordProgress(start, h, 1024)
	}
	later := start.Add(500 * time.Millisecond)
	next := a.Open(later, 1, nil)
	for b.Loop() {
		w, victims := a.Wait(later, next, 1<<10)
		for _, v := range victims {
			v.evicted = false
			a.evicting -= v.bytes
		}
		a.Cancel(w)
	}
}
