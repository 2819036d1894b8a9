package limit

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/config"
	"github.com/trefoillug/trefoillug/peer"
	"github.com/trefoillug/trefoillug/problem"
	"github.com/trefoillug/trefoillug/table"
)

// fakeNet connects the fake meshes of a test.
type fakeNet struct {
	mu    sync.Mutex
	nodes map[string]*fakeMesh
}

// fakeMesh is a peer whose members are set by the test.
type fakeMesh struct {
	net         *fakeNet
	id          string
	mu          sync.Mutex
	members     []peer.Member
	handler     peer.Handler
	failCalls   bool // its calls fail at once
	partitioned bool // all calls from and to it time out: frozen, crashed or partitioned
}

func (n *fakeNet) add(id string) *fakeMesh {
	m := &fakeMesh{net: n, id: id, members: []peer.Member{{ID: id}}}
	n.mu.Lock()
	n.nodes[id] = m
	n.mu.Unlock()
	return m
}

func (m *fakeMesh) Self() peer.Member { return peer.Member{ID: m.id} }

func (m *fakeMesh) Members() []peer.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.members
}

func (m *fakeMesh) Handle(_ string, h peer.Handler) { m.handler = h }

func (m *fakeMesh) isPartitioned() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.partitioned
}

func (m *fakeMesh) setMembers(members []peer.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = members
}

func (m *fakeMesh) setPartitioned(partitioned bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.partitioned = partitioned
}

func (m *fakeMesh) Call(ctx context.Context, member, _ string, body []byte) ([]byte, error) {
	m.net.mu.Lock()
	to := m.net.nodes[member]
	m.net.mu.Unlock()
	time.Sleep(time.Millisecond)
	if m.failCalls {
		return nil, peer.ErrUnreachable
	}
	if to == nil || to.isPartitioned() || m.isPartitioned() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	out, err := to.handler(ctx, m.id, body)
	time.Sleep(time.Millisecond)
	return out, err
}

func testSnapshot(rate, burst float64, concurrency int) *table.Snapshot {
	svc := &config.Service{
		Name: "s", Concurrency: concurrency,
		Workspaces: []config.Workspace{{Name: "w", Rate: rate, Burst: burst}, {Name: "free"}},
	}
	endpoints := []*table.Endpoint{{ID: "e1", Service: "s", Live: &table.Counters{}}}
	return &table.Snapshot{Services: map[string]*table.Service{"s": {Config: svc, Endpoints: endpoints}}}
}

func startSingle(s *table.Snapshot, logOnly bool) *Admission {
	a := New(Settings{Mesh: (&fakeNet{nodes: map[string]*fakeMesh{}}).add("a"), LogOnly: logOnly})
	a.Update(s)
	a.Start()
	return a
}

func admitWithin(a *Admission, workspace string, timeout time.Duration) (func(Result), error) {
	return a.Admit(context.Background(), Request{
		Service: "s", Workspace: workspace, Priority: config.PriorityNormal, Deadline: time.Now().Add(timeout),
	})
}

// Guards against refusals with the wrong kind, and against a Retry-After that is too short or far too long.
func TestAdmit_RetryAfterIsAccurate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startSingle(testSnapshot(0.05, 1, 100), false)
		defer a.Close()
		time.Sleep(10 * time.Second)
		release, err := admitWithin(a, "w", time.Second)
		must.NoError(t, err)
		release(Result{})
		_, err = admitWithin(a, "w", time.Second)
		must.Eq(t, problem.LimitExceeded, problem.KindOf(err))
		after := problem.RetryAfter(err)
		must.Between(t, 15*time.Second, after, 30*time.Second)
		time.Sleep(after)
		release, err = admitWithin(a, "w", time.Second)
		must.NoError(t, err)
		release(Result{})
		_, err = admitWithin(a, "nobody", time.Second)
		must.Eq(t, problem.UnknownWorkspace, problem.KindOf(err))
	})
}

// Guards against a queue that refuses requests which could still run, never refuses any, or leaks capacity.
func TestAdmit_QueuesUntilDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startSingle(testSnapshot(0, 0, 1), false)
		defer a.Close()
		release, err := admitWithin(a, "free", time.Second)
		must.NoError(t, err)
		start := time.Now()
		time.AfterFunc(300*time.Millisecond, func() { release(Result{}) })
		second, err := admitWithin(a, "free", time.Second)
		must.NoError(t, err)
		must.Eq(t, 300*time.Millisecond, time.Since(start))
		_, err = admitWithin(a, "free", 200*time.Millisecond)
		must.Eq(t, problem.Overloaded, problem.KindOf(err))
		must.Eq(t, 300*time.Millisecond, time.Since(start))
		ctx, cancel := context.WithCancel(t.Context())
		time.AfterFunc(50*time.Millisecond, cancel)
		_, err = a.Admit(ctx, Request{Service: "s", Workspace: "free", Deadline: time.Now().Add(time.Minute)})
		must.ErrorIs(t, err, context.Canceled)
		second(Result{})
		third, err := admitWithin(a, "free", 0)
		must.NoError(t, err)
		third(Result{})
	})
}

// Guards against a limit with LogOnly that refuses requests, or that doesn't count those over the limit.
func TestAdmit_LogOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startSingle(testSnapshot(1, 1, 100), true)
		defer a.Close()
		time.Sleep(10 * time.Second)
		for range 20 {
			release, err := admitWithin(a, "w", 0)
			must.NoError(t, err)
			release(Result{})
		}
		must.GreaterEq(t, int64(18), a.Stats().OverLimit)
	})
}

// Guards against tokens that appear with LogOnly when requests that took none are refused for another reason.
func TestAdmit_LogOnlyReleasesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := startSingle(testSnapshot(0.01, 1, 1), true)
		defer a.Close()
		time.Sleep(10 * time.Second)
		release, err := admitWithin(a, "w", 0) // takes the only token and the only place
		must.NoError(t, err)
		defer release(Result{})
		over := a.Stats().OverLimit
		for range 5 {
			_, err := admitWithin(a, "w", 0)
			must.Error(t, err)
		}
		must.Eq(t, over+5, a.Stats().OverLimit)
	})
}

// overload sends 300 requests a second, a third of each priority, to a service that can run 150, for 20 s. With flat,
// all have normal priority. It returns the number of admitted requests by class.
func overload(t *testing.T, a *Admission, flat bool) (admitted [3]int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i := range 6000 {
		class := i % 3
		priority := config.Priority(class)
		if flat {
			priority = config.PriorityNormal
		}
		wg.Go(func() {
			release, err := a.Admit(t.Context(), Request{
				Service: "s", Workspace: "free", Priority: priority, Deadline: time.Now().Add(time.Second),
			})
			if err != nil {
				return
			}
			time.Sleep(time.Second / 15)
			release(Result{})
			mu.Lock()
			admitted[class]++
			mu.Unlock()
		})
		time.Sleep(time.Second / 300)
	}
	wg.Wait()
	a.Close()
	return admitted
}
