package capacity

import (
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/platform/cloud"
	"mangoledge.example/mangoledge/internal/platform/rest"
	"mangoledge.example/mangoledge/internal/platform/weights"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

// withAndWithoutLookups runs a test on a site that lists all hosts, and on one that looks up single
// hosts.
func withAndWithoutLookups(t *testing.T, test func(*testing.T, bool)) {
	t.Helper()
	t.Run("listing", func(t *testing.T) { test(t, false) })
	t.Run("lookups", func(t *testing.T) { test(t, true) })
}

func TestCrashAtAnyCallStartsNoHostTwiceAndForgetsNone(t *testing.T) {
	withAndWithoutLookups(t, crashAtAnyCallStartsNoHostTwiceAndForgetsNone)
}

func crashAtAnyCallStartsNoHostTwiceAndForgetsNone(t *testing.T, lookups bool) {
	for _, after := range []bool{false, true} {
		for at := 1; ; at++ {
			s := newTestSite(t)
			s.lookups = lookups
			first := &crashPoint{callsLeft: at, afterEffect: after}
			s.passes(s.newHolder(first), 6, s.requireWithinMaxHosts)
			s.site.Models[0].Replicas = 2 // so that two hosts must be terminated
			s.passes(s.newHolder(&crashPoint{}), 8, s.requireWithinMaxHosts)
			require.Equal(t, 2, s.runningByDomain()["all"], "crashed at call %d, after its effect: %t", at, after)
			require.Equal(t, 2, s.readyUpstreams("m1"))
			require.LessOrEqual(t, len(s.platform.Bill()), 4, "crashed at call %d: a host was started twice", at)
			if !first.crashed {
				require.Greater(t, at, 8, "too few calls were made to crash at")
				break
			}
		}
	}
}

func TestHostStartedLateByPausedHolderIsTerminated(t *testing.T) {
	withAndWithoutLookups(t, hostStartedLateByPausedHolderIsTerminated)
}

func hostStartedLateByPausedHolderIsTerminated(t *testing.T, lookups bool) {
	s := newTestSite(t)
	s.lookups = lookups
	r := s.newHolder(&crashPoint{})
	s.passes(r, 3, s.requireWithinMaxHosts)
	pool := cloud.Pool{FailureDomain: "d1", HostClass: "small", Market: cloud.MarketReclaimable}
	orphan, err := s.cloud.Start(t.Context(), cloud.Start{ClientToken: TokenPrefix + "forgotten", Pool: pool})
	require.NoError(t, err)
	foreign, err := s.cloud.Start(t.Context(), cloud.Start{ClientToken: "an entry host", Pool: pool})
	require.NoError(t, err)
	s.passes(r, 4, func() {})
	for _, line := range s.platform.Bill() {
		switch line.Host.ID {
		case string(orphan.ID):
			require.Equal(t, platform.HostTerminated, line.Host.State)
		case string(foreign.ID):
			require.Equal(t, platform.HostRunning, line.Host.State, "a host that this package did not start was terminated")
		}
	}
	require.Equal(t, 5, s.runningByDomain()["all"])
}

func TestReclaimedReplicasMoveToOtherDomainsAndMarkets(t *testing.T) {
	withAndWithoutLookups(t, reclaimedReplicasMoveToOtherDomainsAndMarkets)
}

func reclaimedReplicasMoveToOtherDomainsAndMarkets(t *testing.T, lookups bool) {
	s := newTestSite(t)
	s.lookups = lookups
	s.site.Models = append(s.site.Models, config.Model{Name: "m2", Version: "v1", Replicas: 4, Priority: 1})
	r := s.newHolder(&crashPoint{})
	s.passes(r, 6, s.requireWithinMaxHosts) // two loads begin per pass
	require.Equal(t, 4, s.readyUpstreams("m1"))
	require.Equal(t, 4, s.readyUpstreams("m2"))
	before := s.runningByDomain()
	for _, domain := range []string{"d1", "d2", "d3"} {
		require.LessOrEqual(t, before[domain], 4, "too many replicas in one failure domain: %v", before)
	}
	s.platform.AddFault(platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts, Market: platform.MarketReclaimable})
	s.platform.AddFault(platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts, FailureDomain: "d1"})
	require.Positive(t, s.platform.Reclaim("", "d1", "", 5*time.Second))
	s.passes(r, 1, s.requireWithinMaxHosts)
	for _, u := range s.registry.Upstreams() {
		require.False(t, u.FailureDomain == "d1" && u.State == fleet.StateReady, "a host with a reclaim notice still takes work")
	}
	s.passes(r, 6, s.requireWithinMaxHosts) // two loads begin per pass
	require.Equal(t, 4, s.readyUpstreams("m1"))
	require.Equal(t, 4, s.readyUpstreams("m2"))
	require.Zero(t, s.runningByDomain()["d1"])
}

func TestMoveBackToCheaperHostsKeepsCapacity(t *testing.T) {
	s := newTestSite(t)
	refuse := platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts, Market: platform.MarketReclaimable}
	s.platform.AddFault(refuse)
	r := s.newHolder(&crashPoint{})
	s.passes(r, 6, s.requireWithinMaxHosts)
	require.Equal(t, 4, s.readyUpstreams("m1"))
	require.InDelta(t, 12, s.costPerHour(), 0.01, "want only on-demand hosts while no others are available")
	s.platform.ClearFaults()
	s.passes(r, 60, func() {
		s.requireWithinMaxHosts()
		require.GreaterOrEqual(t, s.readyUpstreams("m1"), 4, "capacity was lost")
	})
	require.InDelta(t, 4, s.costPerHour(), 0.01)
	started := len(s.platform.Bill())
	s.passes(r, 20, s.requireWithinMaxHosts)
	require.Len(t, s.platform.Bill(), started, "replicas move back and forth")
}

func TestScarceCapacityGoesToTheMostUrgentModel(t *testing.T) {
	s := newTestSite(t)
	for i := range s.site.Capacity {
		s.site.Capacity[i].MaxHosts = 0
	}
	s.site.Capacity[0].MaxHosts = 4
	s.site.Models = []config.Model{{Name: "low", Replicas: 4, Priority: 1}, {Name: "high", Replicas: 3, Priority: 9}}
	s.passes(s.newHolder(&crashPoint{}), 4, s.requireWithinMaxHosts)
	require.Equal(t, 3, s.readyUpstreams("high"))
	require.Equal(t, 1, s.readyUpstreams("low"))
}

func TestVersionRolloutKeepsCapacity(t *testing.T) {
	s := newTestSite(t)
	r := s.newHolder(&crashPoint{})
	s.passes(r, 4, s.requireWithinMaxHosts)
	require.Equal(t, 4, s.readyUpstreams("m1"))
	old := s.registry.Upstreams()
	s.site.Models[0].Version = "v2"
	s.passes(r, 30, func() {
		s.requireWithinMaxHosts()
		require.GreaterOrEqual(t, s.readyUpstreams("m1"), 4, "capacity was lost")
	})
	require.Equal(t, 4, s.runningByDomain()["all"])
	for _, u := range s.registry.Upstreams() {
		require.False(t, slices.ContainsFunc(old, func(o fleet.Upstream) bool { return o.ID == u.ID }), "a replica of the old version still runs")
	}
}

func TestWeightStoreClientKeepsRateLimit(t *testing.T) {
	s := newTestSite(t)
	s.platform = nil
	now := time.Now()
	standIn := platform.NewServer(platform.Options{Clock: func() time.Time { return now }, LoadsPerMinute: 6})
	server := httptest.NewServer(standIn)
	defer server.Close()
	client := weights.NewClient(rest.NewClient(rest.Options{BaseURL: server.URL, CallsPerSecond: 1e6}), func() time.Time { return now })
	begun := 0
	for range 600 { // one minute in steps of 100 ms
		err := client.Begin(t.Context(), weights.Load{Host: "h", Model: "m"})
		if err == nil {
			begun++
		} else {
			require.ErrorIs(t, err, weights.ErrBusy)
		}
		now = now.Add(100 * time.Millisecond)
	}
	require.GreaterOrEqual(t, begun, 6)
	require.LessOrEqual(t, begun, 8, "more loads began than the burst plus six per minute")
	require.LessOrEqual(t, standIn.Counts().Total, uint64(20), "a busy weight store was called repeatedly")
}
