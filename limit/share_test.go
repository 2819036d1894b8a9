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
	// churnTimeout is the time from each request to its deadline.
	churnTimeout = 500 * time.Millisecond
	churnStep    = 50 * time.Millisecond
	churnWindow  = 10 * time.Second
)

// churnNode is a member of the churn model.
type churnNode struct {
	mesh   *fakeMesh
	a      *Admission
	domain int
	weight float64 // share of the load, relative to the other nodes
	down   bool    // frozen or crashed
}

// churn sends a load to a changing set of members and counts the requests that are admitted in each step.
type churn struct {
	rng           *rand.Rand // for the membership changes
	loadRNG       *rand.Rand
	net           *fakeNet
	mode          string // "shares", "per node" or "even split"
	mu            sync.Mutex
	nodes         []*churnNode
	views         map[*churnNode][]peer.Member
	offered       []int
	admitted      []int
	load          float64 // requests a second over all members
	newlyAdmitted atomic.Int64
	wg            sync.WaitGroup
}

func newChurn(seed uint64, mode string, load float64) *churn {
	c := &churn{rng: rand.New(rand.NewPCG(seed, 3)), loadRNG: rand.New(rand.NewPCG(seed, 4)), net: &fakeNet{nodes: map[string]*fakeMesh{}}, mode: mode, load: load, views: map[*churnNode][]peer.Member{}}
	for range 12 {
		c.addMember()
	}
	c.publishMembership(0)
	return c
}

func (c *churn) addMember() {
	mesh := c.net.add(fmt.Sprintf("n%02d", len(c.nodes)))
	mesh.failCalls = c.mode == "even split"
	n := &churnNode{mesh: mesh, domain: len(c.nodes) % 4, weight: 1}
	n.a = New(Settings{Mesh: n.mesh})
	n.a.Update(testSnapshot(churnRate, churnBurst, 1_000_000))
	n.a.Start()
	c.mu.Lock()
	c.nodes = append(c.nodes, n)
	c.mu.Unlock()
}

// publishMembership sets the current membership on each member, at a random time within skew.
func (c *churn) publishMembership(skew time.Duration) {
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
			n.mesh.setPartitioned(down)
		}
	}
}

// offerLoad sends the load for the given time.
func (c *churn) offerLoad(length time.Duration) {
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
				c.wg.Go(func() { c.sendRequest(n) })
			}
		}
		c.mu.Unlock()
		synctest.Wait()
		admitted := int(c.newlyAdmitted.Swap(0))
		c.offered, c.admitted = append(c.offered, offered), append(c.admitted, admitted)
	}
	c.wg.Wait()
}

// sendRequest sends one request, which waits for up to churnTimeout.
func (c *churn) sendRequest(n *churnNode) {
	deadline := time.Now().Add(churnTimeout)
	release, err := n.a.Admit(context.Background(), Request{Service: "s", Workspace: "w", Deadline: deadline})
	if err == nil {
		c.newlyAdmitted.Add(1)
		release(Result{})
	}
}

func (c *churn) poisson(mean float64) (k int) {
	for t := c.loadRNG.ExpFloat64(); t < mean; t += c.loadRNG.ExpFloat64() {
		k++
	}
	return k
}

// worstWindow returns, over all windows, the highest ratio of admitted requests to what the limit allows, and the
// lowest ratio of admitted requests to min(offered, limit).
func (c *churn) worstWindow() (over, under float64) {
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

// changeMembership redistributes the load and changes the membership at random. Failed members are removed from the
// membership after 7 s, as by the mesh.
func (c *churn) changeMembership(length time.Duration) {
	end := time.Now().Add(length)
	for time.Now().Before(end) {
		time.Sleep(time.Duration(4+c.rng.IntN(8)) * time.Second)
		c.mu.Lock()
		for _, n := range c.nodes {
			n.weight = c.rng.ExpFloat64() * c.rng.ExpFloat64()
		}
		c.mu.Unlock()
		chosen := c.nodes[c.rng.IntN(len(c.nodes))]
		match := func(n *churnNode) bool { return n == chosen }
		switch c.rng.IntN(4) {
		case 0: // join
			c.addMember()
			c.publishMembership(time.Second)
			continue
		case 1: // loss of a failure domain
			match = func(n *churnNode) bool { return n.domain == chosen.domain }
		case 2: // freeze for less than the time of failure detection
			c.setDown(true, match)
			time.Sleep(4 * time.Second)
			c.setDown(false, match)
			continue
		}
		c.setDown(true, match)
		time.Sleep(7 * time.Second)
		c.publishMembership(time.Second)
		time.Sleep(8 * time.Second)
		c.setDown(false, match) // they return with their state
		c.publishMembership(time.Second)
	}
}

func (c *churn) run(length time.Duration) {
	var wg sync.WaitGroup
	wg.Go(func() { c.changeMembership(length - 20*time.Second) })
	c.offerLoad(length)
	wg.Wait()
	for _, n := range c.nodes {
		n.a.Close()
	}
}

// total returns the ratio of admitted requests to min(offered, limit) over the whole run.
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
			time.Sleep(grantLifetime + skewAllowance)
			c.run(100 * time.Second)
			over, under := c.worstWindow()
			r.over, r.under = max(r.over, over), min(r.under, under)
			r.total += c.total() / float64(seeds)
		})
	}
	t.Logf("load %.1f of the limit, %-10s: over 10 s at most %.2f and at least %.2f, over all %.2f of what is allowed",
		load/churnRate, mode, r.over, r.under, r.total)
	return r
}

// Guards against a workspace that gets more than 1.2 times its limit over any 10 s while members join, leave or freeze,
// or a failure domain is lost, and against shares that admit no more than an even split.
func TestShares_BoundUnderChurn(t *testing.T) {
	for _, load := range []float64{3 * churnRate, 0.8 * churnRate} {
		shares := runChurn(t, "shares", load, 4)
		must.LessEq(t, 1.2, shares.over)
		even := runChurn(t, "even split", load, 2)
		runChurn(t, "per node", load, 1)
		must.Greater(t, even.total, shares.total)
	}
}
