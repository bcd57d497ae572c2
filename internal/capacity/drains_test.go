package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

// hostStartedNth returns the host on the nth line of the bill, counted from 0.
func (b *testSite) hostStartedNth(n int) ident.Host { return ident.Host(b.platform.Bill()[n].Host.ID) }

// isBilled reports whether a host is still billed.
func (b *testSite) isBilled(host ident.Host) bool {
	for _, line := range b.platform.Bill() {
		if line.Host.ID == string(host) {
			return line.Host.State != platform.HostTerminated
		}
	}
	return false
}

func TestDrainedHostIsReplacedAndThenTerminated(t *testing.T) {
	b := newTestSite(t)
	r := b.newHolder(&crashPoint{})
	b.passes(r, 4, b.requireWithinMaxHosts)
	host := b.hostStartedNth(0)
	b.site.Drains = []config.Drain{{Host: host}}
	b.passes(r, 6, func() {
		b.requireWithinMaxHosts()
		if !b.isBilled(host) {
			require.GreaterOrEqual(t, b.readyUpstreams("m1"), 4, "terminated before it was replaced")
		}
	})
	require.False(t, b.isBilled(host), "the drained host is still billed")
	require.Equal(t, 4, b.runningByDomain()["all"])
	require.Len(t, b.platform.Bill(), 5, "one host was started to replace it")
	b.passes(r, 6, b.requireWithinMaxHosts)
	require.Len(t, b.platform.Bill(), 5)
}

func TestClearedDrainKeepsHostThatWasNotReplaced(t *testing.T) {
	b := newTestSite(t)
	r := b.newHolder(&crashPoint{})
	b.passes(r, 4, b.requireWithinMaxHosts)
	host := b.hostStartedNth(1)
	b.platform.AddFault(platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts})
	b.site.Drains = []config.Drain{{Upstream: upstreamID(host)}}
	b.passes(r, 20, b.requireWithinMaxHosts)
	require.True(t, b.isBilled(host), "terminated without a replacement")
	b.site.Drains = nil
	b.platform.ClearFaults()
	b.passes(r, 20, b.requireWithinMaxHosts)
	require.True(t, b.isBilled(host), "the host is kept after the drain was cleared")
	require.Equal(t, 4, b.runningByDomain()["all"])
	require.Len(t, b.platform.Bill(), 4, "no replacement was started")
}
