package limit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/trefoillug/trefoillug/peer"
)

const (
	churnRate  = 100.0
	churnBurst = 50.0
	// churnPatience is the time to the deadline of each request.
	churnPatience = 500 * time.Millisecond
	churnStep     = 50 * time.Millisecond
	churnWindow   = 10 * time.Second
)

// churnNode is a member of the churn model.
type churnNode struct {
	mesh   *fakeMesh
	a      *Admission
	domain int
	weight float64 // part of the load
	down   bool    // frozen or lost
}

// churn offers a load to members that come and go, and counts what is admitted in each step.
type churn struct {
	rng      *rand.Rand // of the script
	loadRNG  *rand.Rand
	net      *fakeNet
	mode     string // "shares", "per node" or "even split"
	mu       sync.Mutex
	nodes    []*churnNode
	views    map[*churnNode][]peer.Member
	offered  []int
	admitted []int
	load     float64 // requests a second over all members
	passed   atomic.Int64
	wg       sync.WaitGroup
}

func newChurn(seed uint64, mode string, load float64) *churn {
	c := &churn{rng: rand.New(rand.NewPCG(seed, 3)), loadRNG: rand.New(rand.NewPCG(seed, 4)), net: &fakeNet{nodes: map[string]*fakeMesh{}}, mode: mode, load: load, views: map[*churnNode][]peer.Member{}}
	for range 12 {
		c.join()
	}
	c.showAll(0)
	return c
}

func (c *churn) join() {
	mesh := c.net.add(fmt.Sprintf("n%02d", len(c.nodes)))
	mesh.mute = c.mode == "even split"
	n := &churnNode{mesh: mesh, domain: len(c.nodes) % 4, weight: 1}
	n.a = New(Settings{Mesh: n.mesh})
	n.a.Update(testSnapshot(churnRate, churnBurst, 1_000_000))
	n.a.Start()
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
}

// showAll gives each member the present membership, each at a random time within skew.
func (c *churn) showAll(skew time.Duration) {
	var members []peer.Member
	for _, n := range c.nodes {
		if !n.down {
			members = append(members, peer.Member{ID: n.mesh.id})
		}
	}
	for _, n := range c.nodes {
		show := func() { n.mesh.setMembers(members) }
		if c.mode == "per node" {
			show = func() {}
		}
		if skew == 0 {
			show()
			continue
		}
		time.AfterFunc(time.Duration(c.rng.Float64()*float64(skew)), show)
	}
}

func (c *churn) setDown(down bool, match func(*churnNode) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if match(n) {
			n.down = down
			n.mesh.setCut(down)
		}
	}
}

// serve offers the load until the end of the run.
func (c *churn) serve(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(churnStep) {
		offered := 0
		c.mu.Lock()
		total := 0.0
		for _, n := range c.nodes {
			total += n.weight
		}
		for _, n := range c.nodes {
			mean := c.load * churnStep.Seconds() * n.weight / total
			for range c.poisson(mean) {
				if n.down {
					continue
				}
				offered++
				c.wg.Go(func() { c.ask(n) })
			}
		}
		c.mu.Unlock()
		synctest.Wait()
		admitted := int(c.passed.Swap(0))
		c.offered, c.admitted = append(c.offered, offered), append(c.admitted, admitted)
	}
	c.wg.Wait()
}

// ask sends one request, which waits for up to churnPatience.
func (c *churn) ask(n *churnNode) {
	deadline := time.Now().Add(churnPatience)
	release, err := n.a.Admit(context.Background(), Request{Service: "s", Workspace: "w", Deadline: deadline})
	if err == nil {
		c.passed.Add(1)
		release(Result{})
	}
}

func (c *churn) poisson(mean float64) (k int) {
	for t := c.loadRNG.ExpFloat64(); t < mean; t += c.loadRNG.ExpFloat64() {
		k++
	}
	return k
}

// worst returns the highest rate over any window, as a multiple of what the limit allows in it, and the lowest part
// of min(offered, limit) that was admitted in any.
func (c *churn) worst() (over, under float64) {
	n, under := int(churnWindow/churnStep), 1.0
	allowed := churnRate*churnWindow.Seconds() + churnBurst
	for i := 0; i+n <= len(c.admitted); i++ {
		offered, admitted := 0, 0
		for j := i; j < i+n; j++ {
			offered += c.offered[j]
			admitted += c.admitted[j]
		}
		over = max(over, float64(admitted)/allowed)
		if offered > 0 {
			under = min(under, float64(admitted)/min(float64(offered), churnRate*churnWindow.Seconds()))
		}
	}
	return over, under
}

// script moves the load and changes the membership at random. Deaths are noticed after 7 s, as the mesh does.
func (c *churn) script(length time.Duration) {
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(4+c.rng.IntN(8)) * time.Second)
		c.mu.Lock()
		for _, n := range c.nodes {
			n.weight = c.rng.ExpFloat64() * c.rng.ExpFloat64()
		}
		c.mu.Unlock()
		victim := c.nodes[c.rng.IntN(len(c.nodes))]
		match := func(n *churnNode) bool { return n == victim }
		switch c.rng.IntN(4) {
		case 0: // join
			c.join()
			c.showAll(time.Second)
			continue
		case 1: // loss of a failure domain
			match = func(n *churnNode) bool { return n.domain == victim.domain }
		case 2: // freeze, shorter than it takes to be noticed
			c.setDown(true, match)
			time.Sleep(4 * time.Second)
			c.setDown(false, match)
			continue
		}
		c.setDown(true, match)
		time.Sleep(7 * time.Second)
		c.showAll(time.Second)
		time.Sleep(8 * time.Second)
		c.setDown(false, match) // they come back, with what they held
		c.showAll(time.Second)
	}
}

func (c *churn) run(length time.Duration) {
	var wg sync.WaitGroup
	wg.Go(func() { c.script(length - 20*time.Second) })
	c.serve(length)
	wg.Wait()
	for _, n := range c.nodes {
		n.a.Close()
	}
}

// total returns the admitted part of min(offered, limit) over the whole run.
func (c *churn) total() float64 {
	admitted, possible := 0.0, 0.0
	for i, o := range c.offered {
		admitted += float64(c.admitted[i])
		possible += min(float64(o), churnRate*churnStep.Seconds())
	}
	return admitted / possible
}

type churnResult struct{ over, under, total float64 }

func runChurn(t *testing.T, mode string, load float64, seeds int) churnResult {
	r := churnResult{under: 1}
	for seed := range uint64(seeds) {
		synctest.Test(t, func(*testing.T) {
			c := newChurn(seed, mode, load)
			time.Sleep(grantLife + skewAllowance)
			c.run(100 * time.Second)
			over, under := c.worst()
			r.over, r.under = max(r.over, over), min(r.under, under)
			r.total += c.total() / float64(seeds)
		})
	}
	t.Logf("load %.1f of the limit, %-10s: over 10 s at most %.2f and at least %.2f, over all %.2f of what is allowed",
		load/churnRate, mode, r.over, r.under, r.total)
	return r
}

// Guards against a workspace that gets more than 1.2 times its limit over any 10 s while members join, leave, freeze or
// a failure domain is lost, and against shares that are no better than an even split.
func TestShares_BoundUnderChurn(t *testing.T) {
	for _, load := range []float64{3 * churnRate, 0.8 * churnRate} {
		shares := runChurn(t, "shares", load, 4)
		must.LessEq(t, 1.2, shares.over)
		even := runChurn(t, "even split", load, 2)
		runChurn(t, "per node", load, 1)
		must.Greater(t, even.total, shares.total)
	}
}
