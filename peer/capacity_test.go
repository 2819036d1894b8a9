package peer

import (
	"fmt"
	"runtime"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	capacityDomains = 5
	capacitySettle  = 25 * time.Second
	capacityIdle    = 10 * time.Second
)

// cpuSeconds returns the CPU time of this process.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

func memoryInUse() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

func messagesSent(nodes []*Node) (n int64) {
	for _, x := range nodes {
		n += x.Stats().MessagesSent
	}
	return n
}

// startListed starts members that know each other's addresses from the platform's list.
func startListed(b *testing.B, net *memNet, count int) []*Node {
	var list []Member
	for i := range count {
		list = append(list, testMember(i, capacityDomains, 2))
	}
	nodes := make([]*Node, count)
	for i := range nodes {
		nodes[i] = net.start(b, list[i])
	}
	for _, n := range nodes {
		n.UpdateMembers(list)
	}
	return nodes
}

// BenchmarkCapacityPeers measures members in one process over the in-memory transport. Bytes are those that a node
// sends (and, on average, receives): CBOR messages and WebSocket frame headers, without TCP, IP and TLS.
func BenchmarkCapacityPeers(b *testing.B) {
	for _, count := range []int{8, 32, 64, 128, 256, 650} {
		b.Run(fmt.Sprintf("nodes=%d", count), func(b *testing.B) {
			for b.Loop() {
				measureCapacity(b, count)
			}
		})
	}
}

func measureCapacity(b *testing.B, count int) {
	per := func(v float64, unit string) { b.ReportMetric(v/float64(count), unit) }
	base, net := memoryInUse(), newMemNet()
	nodes := startListed(b, net, count)
	took := waitFor(b, time.Minute, "all know all", func() bool { return allSee(nodes, count) })
	b.ReportMetric(took.Seconds(), "start-s")
	per(float64(net.bytes.Load()), "start-B/node")
	time.Sleep(capacitySettle)

	bytes, messages, cpu := net.bytes.Load(), messagesSent(nodes), cpuSeconds()
	time.Sleep(capacityIdle)
	seconds := capacityIdle.Seconds()
	per(float64(net.bytes.Load()-bytes)/seconds, "idle-B/s/node")
	per(float64(messagesSent(nodes)-messages)/seconds, "idle-msg/s/node")
	per((cpuSeconds()-cpu)/seconds*100, "idle-cpu-%/node")
	per((memoryInUse()-base)/(1<<20), "MB/node")
	links := 0
	for _, n := range nodes {
		links += n.Stats().Connections
	}
	per(float64(links), "conns/node")
	measureFact(b, net, nodes)
	measureDomainLoss(b, net, nodes)
}

func measureFact(b *testing.B, net *memNet, nodes []*Node) {
	bytes := net.bytes.Load()
	nodes[1].Publish("k", []byte("0123456789abcdef"), 0)
	took := waitFor(b, 10*time.Second, "fact reaches all", allHave(nodes, nodes[1].id, "k", "0123456789abcdef"))
	b.ReportMetric(float64(took.Milliseconds()), "fact-ms")
	time.Sleep(flushWindow)
	b.ReportMetric(float64(net.bytes.Load()-bytes)/float64(len(nodes)), "fact-B/node")
}

// measureDomainLoss silences a fifth of the members and waits until the others have noticed.
func measureDomainLoss(b *testing.B, net *memNet, nodes []*Node) {
	lost := map[string]bool{}
	var rest []*Node
	for _, n := range nodes {
		if n.Self().FailureDomain == "d2" {
			lost[n.Self().Address] = true
		} else {
			rest = append(rest, n)
		}
	}
	bytes, cpu := net.bytes.Load(), cpuSeconds()
	net.set(func() { net.blocked = func(from, to string) bool { return lost[from] || lost[to] } })
	took := waitFor(b, 30*time.Second, "loss is noticed", func() bool { return allSee(rest, len(rest)) })
	b.ReportMetric(took.Seconds(), "loss-s")
	b.ReportMetric(float64(net.bytes.Load()-bytes)/float64(len(nodes)), "loss-B/node")
	b.ReportMetric((cpuSeconds()-cpu)/float64(len(nodes))*1000, "loss-cpu-ms/node")
	for _, n := range nodes {
		net.kill(n)
	}
}

// BenchmarkCapacityPeersLoopback calibrates the in-memory count with the bytes on real loopback TCP connections,
// WebSocket handshakes and frames included.
func BenchmarkCapacityPeersLoopback(b *testing.B) {
	const count = 32
	for b.Loop() {
		w := NewWebSocket()
		nodes := make([]*Node, count)
		var seeds []string
		for i := range nodes {
			nodes[i] = startSocketNode(b, fmt.Sprintf("n%02d", i), fmt.Sprintf("d%d", i%capacityDomains), w, seeds...)
			seeds = append(seeds, nodes[i].Self().Address)
		}
		waitFor(b, time.Minute, "all know all", func() bool { return allSee(nodes, count) })
		time.Sleep(capacitySettle)
		sent, received := w.Bytes()
		messages, cpu := messagesSent(nodes), cpuSeconds()
		time.Sleep(capacityIdle)
		sentAfter, receivedAfter := w.Bytes()
		must.Positive(b, sentAfter-sent)
		per := func(v float64) float64 { return v / count / capacityIdle.Seconds() }
		b.ReportMetric(per(float64(sentAfter-sent)), "sent-B/s/node")
		b.ReportMetric(per(float64(receivedAfter-received)), "received-B/s/node")
		b.ReportMetric(per(float64(messagesSent(nodes)-messages)), "idle-msg/s/node")
		b.ReportMetric(per((cpuSeconds()-cpu)*100), "idle-cpu-%/node")
	}
}
