package config

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"runtime"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
)

const (
	// benchDomains is the number of failure domains of the largest site.
	benchDomains = 19
	// smallSiteNodes is the maximum number of nodes of a site with three failure domains.
	smallSiteNodes = 6
	// warmUpTime is the time for watches and connections to be established.
	warmUpTime = 3 * time.Second
	// measureTime is the time over which the steady cost is measured.
	measureTime = 20 * time.Second
	// changesPerDay is the rate of changes that the system is designed for.
	changesPerDay = 7000
)

// countingListener counts the bytes on all connections that it accepts.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

// countingConn adds the bytes that it reads and writes to a shared counter.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	c.bytes.Add(int64(n))
	return n, err
}

// benchCluster starts a cluster with a configuration in force on all nodes, and discards logs.
func benchCluster(b *testing.B, nodes int) *cluster {
	slog.SetDefault(slog.New(slog.DiscardHandler))
	domains := benchDomains
	if nodes <= smallSiteNodes {
		domains = 3
	}
	c := newCluster(b, nodes, domains)
	first := c.nodes[0].propose(b, setReplicas("first", 0, 1))
	require.Equal(b, OutcomeAccepted, first.Kind)
	for _, n := range c.nodes {
		n.waitVersion(b, first.Version)
	}
	time.Sleep(warmUpTime)
	return c
}

// BenchmarkInForce measures the time from the accepted outcome until the version is
// in force on a node, over all nodes and changes.
func BenchmarkInForce(b *testing.B) {
	for _, nodes := range []int{6, 24, 100, 460} {
		b.Run(fmt.Sprint(nodes), func(b *testing.B) {
			c := benchCluster(b, nodes)
			times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)
			b.ResetTimer()
			for i := range b.N {
				measureChange(b, c, i, times)
			}
			b.ReportMetric(float64(times.ValueAtQuantile(50))/1000, "p50-ms")
			b.ReportMetric(float64(times.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(times.Max())/1000, "max-ms")
		})
	}
}

// measureChange makes one change and records, for each node, the time until it is in force.
func measureChange(b *testing.B, c *cluster, i int, times *hdrhistogram.Histogram) {
	outcome := c.nodes[i%len(c.nodes)].propose(b, setReplicas(fmt.Sprintf("c%d", i), 0, i%100))
	accepted := time.Now()
	require.Equal(b, OutcomeAccepted, outcome.Kind)
	waiting := append([]*testNode(nil), c.nodes...)
	for len(waiting) > 0 {
		require.Less(b, time.Since(accepted), eventTimeout)
		rest := waiting[:0]
		now := time.Since(accepted)
		for _, n := range waiting {
			if n.manager.Current().Version < outcome.Version {
				rest = append(rest, n)
				continue
			}
			_ = times.RecordValue(max(now.Microseconds(), 1))
		}
		waiting = rest
		time.Sleep(200 * time.Microsecond)
	}
}

// BenchmarkSteady measures the cost of configuration per node and second, idle and at
// changesPerDay. The CPU time includes that of the simulated platform.
func BenchmarkSteady(b *testing.B) {
	for _, nodes := range []int{6, 100, 460} {
		for _, changes := range []int{0, changesPerDay} {
			b.Run(fmt.Sprintf("%d/changes=%d", nodes, changes), func(b *testing.B) {
				c := benchCluster(b, nodes)
				b.ResetTimer()
				for range b.N {
					measureSteady(b, c, changes)
				}
			})
		}
	}
}

// measureSteady measures store calls, bytes and CPU time per node over measureTime.
func measureSteady(b *testing.B, c *cluster, changes int) {
	runtime.GC()
	calls, bytes, cpu, began := c.storeCalls(), c.bytes.Load(), cpuTime(b), time.Now()
	if changes == 0 {
		time.Sleep(measureTime)
	} else {
		interval := 24 * time.Hour / time.Duration(changes)
		for i := 0; time.Since(began) < measureTime; i++ {
			c.nodes[i%len(c.nodes)].propose(b, setReplicas(fmt.Sprintf("s%d-%d", began.UnixNano(), i), 0, i))
			time.Sleep(min(interval, max(measureTime-time.Since(began), 0)))
		}
	}
	perNodeSecond := time.Since(began).Seconds() * float64(len(c.nodes))
	b.ReportMetric(float64(c.storeCalls()-calls)/perNodeSecond, "storecalls/node/s")
	// Each byte is sent by one node and received by another, so it counts twice.
	b.ReportMetric(2*float64(c.bytes.Load()-bytes)/perNodeSecond, "bytes/node/s")
	b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/perNodeSecond, "%core/node")
}

// storeCalls returns the number of store calls of all nodes.
func (c *cluster) storeCalls() uint64 {
	sum := uint64(0)
	for _, n := range c.nodes {
		sum += n.store.Budget().Calls()
	}
	return sum
}

// cpuTime returns the CPU time of this process so far.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(os.NewSyscallError("getrusage", err))
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
