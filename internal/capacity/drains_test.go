package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

// started returns the host of the nth line of the bill, from 0.
func (b *bench) started(n int) ident.Host { return ident.Host(b.platform.Bill()[n].Host.ID) }

// runs reports whether a host is still paid for.
func (b *bench) runs(host ident.Host) bool {
	for _, line := range b.platform.Bill() {
		if line.Host.ID == string(host) {
			return line.Host.State != platform.HostTerminated
		}
	}
	return false
}

func TestDrainedHostIsReplacedAndThenEnded(t *testing.T) {
	b := newBench(t)
	r := b.process(&plug{})
	b.passes(r, 4, b.withinBudget)
	host := b.started(0)
	b.site.Drains = []config.Drain{{Host: host}}
	b.passes(r, 6, func() {
		b.withinBudget()
		if !b.runs(host) {
			require.GreaterOrEqual(t, b.ready("m1"), 4, "ended before it was replaced")
		}
	})
	require.False(t, b.runs(host), "still paid for")
	require.Equal(t, 4, b.running()["all"])
	require.Len(t, b.platform.Bill(), 5, "one host was started in its place")
	b.passes(r, 6, b.withinBudget)
	require.Len(t, b.platform.Bill(), 5)
}

func TestDrainClearedWhileStartsAreRefusedBringsTheHostBack(t *testing.T) {
	b := newBench(t)
	r := b.process(&plug{})
	b.passes(r, 4, b.withinBudget)
	host := b.started(1)
	b.platform.AddFault(platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts})
	b.site.Drains = []config.Drain{{Upstream: upstreamOf(host)}}
	b.passes(r, 20, b.withinBudget)
	require.True(t, b.runs(host), "ended though nothing replaces it")
	b.site.Drains = nil
	b.platform.ClearFaults()
	b.passes(r, 20, b.withinBudget)
	require.True(t, b.runs(host), "the host came back")
	require.Equal(t, 4, b.running()["all"])
	require.Len(t, b.platform.Bill(), 4, "nothing was started in its place")
}
