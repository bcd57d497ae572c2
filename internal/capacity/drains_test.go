package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

// nthStartedHost returns the host on the nth line of the bill, counted from 0.
func (s *testSite) nthStartedHost(n int) ident.Host { return ident.Host(s.platform.Bill()[n].Host.ID) }

// isBilled reports whether a host is still billed.
func (s *testSite) isBilled(host ident.Host) bool {
	for _, line := range s.platform.Bill() {
		if line.Host.ID == string(host) {
			return line.Host.State != platform.HostTerminated
		}
	}
	return false
}

func TestDrainedHostIsReplacedAndThenTerminated(t *testing.T) {
	s := newTestSite(t)
	r := s.newHolder(&crashPoint{})
	s.passes(r, 4, s.requireWithinMaxHosts)
	host := s.nthStartedHost(0)
	s.site.Drains = []config.Drain{{Host: host}}
	s.passes(r, 6, func() {
		s.requireWithinMaxHosts()
		if !s.isBilled(host) {
			require.GreaterOrEqual(t, s.readyUpstreams("m1"), 4, "terminated before it was replaced")
		}
	})
	require.False(t, s.isBilled(host), "the drained host is still billed")
	require.Equal(t, 4, s.runningByDomain()["all"])
	require.Len(t, s.platform.Bill(), 5, "not exactly one host was started to replace it")
	s.passes(r, 6, s.requireWithinMaxHosts)
	require.Len(t, s.platform.Bill(), 5)
}

func TestClearedDrainKeepsHostThatWasNotReplaced(t *testing.T) {
	s := newTestSite(t)
	r := s.newHolder(&crashPoint{})
	s.passes(r, 4, s.requireWithinMaxHosts)
	host := s.nthStartedHost(1)
	s.platform.AddFault(platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts})
	s.site.Drains = []config.Drain{{Upstream: upstreamID(host)}}
	s.passes(r, 20, s.requireWithinMaxHosts)
	require.True(t, s.isBilled(host), "terminated without a replacement")
	s.site.Drains = nil
	s.platform.ClearFaults()
	s.passes(r, 20, s.requireWithinMaxHosts)
	require.True(t, s.isBilled(host), "the host was terminated although the drain was cleared")
	require.Equal(t, 4, s.runningByDomain()["all"])
	require.Len(t, s.platform.Bill(), 4, "a replacement was started although the drain was cleared")
}
