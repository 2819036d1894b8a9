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
	capacityDomains    = 5
	capacitySettleTime = 25 * time.Second
	capacityIdleTime   = 10 * time.Second
)

// cpuSeconds returns the CPU time of this process.
func cpuSeconds() float64 {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()).Seconds()
}

// memoryInUse returns the bytes of heap and stacks in use after a garbage collection.
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

// startFromList starts members that receive each other's addresses in the platform's list.
func startFromList(b *testing.B, net *memNet, count int) []*Node {
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
	reportPerNode := func(v float64, unit string) { b.ReportMetric(v/float64(count), unit) }
	base, net := memoryInUse(), newMemNet()
	nodes := startFromList(b, net, count)
	elapsed := waitFor(b, time.Minute, "complete membership", func() bool { return allHaveMembers(nodes, count) })
	b.ReportMetric(elapsed.Seconds(), "start-s")
	reportPerNode(float64(net.bytes.Load()), "start-B/node")
	time.Sleep(capacitySettleTime)

	bytes, messages, cpu := net.bytes.Load(), messagesSent(nodes), cpuSeconds()
	time.Sleep(capacityIdleTime)
	seconds := capacityIdleTime.Seconds()
	reportPerNode(float64(net.bytes.Load()-bytes)/seconds, "idle-B/s/node")
	reportPerNode(float64(messagesSent(nodes)-messages)/seconds, "idle-msg/s/node")
	reportPerNode((cpuSeconds()-cpu)/seconds*100, "idle-cpu-%/node")
	reportPerNode((memoryInUse()-base)/(1<<20), "MB/node")
	links := 0
	for _, n := range nodes {
		links += n.Stats().Connections
	}
	reportPerNode(float64(links), "conns/node")
	measureFact(b, net, nodes)
	measureDomainLoss(b, net, nodes)
}

func measureFact(b *testing.B, net *memNet, nodes []*Node) {
	bytes := net.bytes.Load()
	nodes[1].Publish("k", []byte("0123456789abcdef"), 0)
	elapsed := waitFor(b, 10*time.Second, "fact reaches all", allHaveFact(nodes, nodes[1].id, "k", "0123456789abcdef"))
	b.ReportMetric(float64(elapsed.Milliseconds()), "fact-ms")
	time.Sleep(flushWindow)
	b.ReportMetric(float64(net.bytes.Load()-bytes)/float64(len(nodes)), "fact-B/node")
}

// measureDomainLoss cuts off a fifth of the members and waits until the others have removed them.
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
	elapsed := waitFor(b, 30*time.Second, "domain is removed", func() bool { return allHaveMembers(rest, len(rest)) })
	b.ReportMetric(elapsed.Seconds(), "loss-s")
	b.ReportMetric(float64(net.bytes.Load()-bytes)/float64(len(nodes)), "loss-B/node")
	b.ReportMetric((cpuSeconds()-cpu)/float64(len(nodes))*1000, "loss-cpu-ms/node")
	for _, n := range nodes {
		net.kill(n)
	}
}

// BenchmarkCapacityPeersLoopback measures the bytes on loopback TCP connections, WebSocket handshakes and frames
// included, to compare with the count of the in-memory transport.
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
		waitFor(b, time.Minute, "complete membership", func() bool { return allHaveMembers(nodes, count) })
		time.Sleep(capacitySettleTime)
		sent, received := w.Bytes()
		messages, cpu := messagesSent(nodes), cpuSeconds()
		time.Sleep(capacityIdleTime)
		sentAfter, receivedAfter := w.Bytes()
		must.Positive(b, sentAfter-sent)
		perNodeSecond := func(v float64) float64 { return v / count / capacityIdleTime.Seconds() }
		b.ReportMetric(perNodeSecond(float64(sentAfter-sent)), "sent-B/s/node")
		b.ReportMetric(perNodeSecond(float64(receivedAfter-received)), "received-B/s/node")
		b.ReportMetric(perNodeSecond(float64(messagesSent(nodes)-messages)), "idle-msg/s/node")
		b.ReportMetric(perNodeSecond((cpuSeconds()-cpu)*100), "idle-cpu-%/node")
	}
}
