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

// listingAndAsking runs a test at a site that lists all hosts, and at one that asks for single ones.
func listingAndAsking(t *testing.T, test func(*testing.T, bool)) {
	t.Helper()
	t.Run("listing", func(t *testing.T) { test(t, false) })
	t.Run("asking", func(t *testing.T) { test(t, true) })
}

func TestHolderThatEndsAnywhereStartsNoHostTwiceAndForgetsNone(t *testing.T) {
	listingAndAsking(t, holderEndsAnywhere)
}

func holderEndsAnywhere(t *testing.T, asks bool) {
	for _, after := range []bool{false, true} {
		for at := 1; ; at++ {
			b := newBench(t)
			b.asks = asks
			first := &plug{left: at, after: after}
			b.passes(b.process(first), 6, b.withinBudget)
			b.site.Models[0].Replicas = 2 // and two hosts are to be ended
			b.passes(b.process(&plug{}), 8, b.withinBudget)
			require.Equal(t, 2, b.running()["all"], "ended at call %d, after its effect: %t", at, after)
			require.Equal(t, 2, b.ready("m1"))
			require.LessOrEqual(t, len(b.platform.Bill()), 4, "ended at call %d: a host was started twice", at)
			if !first.dead {
				require.Greater(t, at, 8, "the plug met too few calls")
				break
			}
		}
	}
}

func TestLateStartOfAPausedHolderIsEnded(t *testing.T) {
	listingAndAsking(t, lateStartOfAPausedHolderIsEnded)
}

func lateStartOfAPausedHolderIsEnded(t *testing.T, asks bool) {
	b := newBench(t)
	b.asks = asks
	r := b.process(&plug{})
	b.passes(r, 3, b.withinBudget)
	pool := cloud.Pool{FailureDomain: "d1", HostClass: "small", Market: cloud.MarketReclaimable}
	stray, err := b.cloud.Start(t.Context(), cloud.Start{ClientToken: TokenPrefix + "forgotten", Pool: pool})
	require.NoError(t, err)
	foreign, err := b.cloud.Start(t.Context(), cloud.Start{ClientToken: "an entry host", Pool: pool})
	require.NoError(t, err)
	b.passes(r, 4, func() {})
	for _, line := range b.platform.Bill() {
		switch line.Host.ID {
		case string(stray.ID):
			require.Equal(t, platform.HostTerminated, line.Host.State)
		case string(foreign.ID):
			require.Equal(t, platform.HostRunning, line.Host.State, "a host of somebody else was ended")
		}
	}
	require.Equal(t, 5, b.running()["all"])
}

func TestReclaimWaveWithRefusedStartsGoesToOtherDomainsAndMarkets(t *testing.T) {
	listingAndAsking(t, reclaimWaveWithRefusedStartsGoesToOtherDomainsAndMarkets)
}

func reclaimWaveWithRefusedStartsGoesToOtherDomainsAndMarkets(t *testing.T, asks bool) {
	b := newBench(t)
	b.asks = asks
	b.site.Models = append(b.site.Models, config.Model{Name: "m2", Version: "v1", Replicas: 4, Priority: 1})
	r := b.process(&plug{})
	b.passes(r, 6, b.withinBudget) // two loads begin in a pass
	require.Equal(t, 4, b.ready("m1"))
	require.Equal(t, 4, b.ready("m2"))
	before := b.running()
	for _, domain := range []string{"d1", "d2", "d3"} {
		require.LessOrEqual(t, before[domain], 4, "spread for the loss of a domain: %v", before)
	}
	b.platform.AddFault(platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts, Market: platform.MarketReclaimable})
	b.platform.AddFault(platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts, FailureDomain: "d1"})
	require.Positive(t, b.platform.Reclaim("", "d1", "", 5*time.Second))
	b.passes(r, 1, b.withinBudget)
	for _, u := range b.registry.Upstreams() {
		require.False(t, u.FailureDomain == "d1" && u.State == fleet.StateReady, "a host with a notice still takes work")
	}
	b.passes(r, 6, b.withinBudget) // two loads begin in a pass
	require.Equal(t, 4, b.ready("m1"))
	require.Equal(t, 4, b.ready("m2"))
	require.Zero(t, b.running()["d1"])
}

func TestReplicasMoveBackToCheaperHostsWithoutLosingCapacity(t *testing.T) {
	b := newBench(t)
	refuse := platform.Fault{Service: platform.ServiceCloud, Kind: platform.FaultRefuseStarts, Market: platform.MarketReclaimable}
	b.platform.AddFault(refuse)
	r := b.process(&plug{})
	b.passes(r, 6, b.withinBudget)
	require.Equal(t, 4, b.ready("m1"))
	require.InDelta(t, 12, b.costPerHour(), 0.01, "on demand while nothing else is to be had")
	b.platform.ClearFaults()
	b.passes(r, 60, func() {
		b.withinBudget()
		require.GreaterOrEqual(t, b.ready("m1"), 4, "capacity was lost")
	})
	require.InDelta(t, 4, b.costPerHour(), 0.01)
	started := len(b.platform.Bill())
	b.passes(r, 20, b.withinBudget)
	require.Len(t, b.platform.Bill(), started, "replicas go to and fro")
}

func TestScarceCapacityGoesToTheMostUrgentModel(t *testing.T) {
	b := newBench(t)
	for i := range b.site.Capacity {
		b.site.Capacity[i].MaxHosts = 0
	}
	b.site.Capacity[0].MaxHosts = 4
	b.site.Models = []config.Model{{Name: "low", Replicas: 4, Priority: 1}, {Name: "high", Replicas: 3, Priority: 9}}
	b.passes(b.process(&plug{}), 4, b.withinBudget)
	require.Equal(t, 3, b.ready("high"))
	require.Equal(t, 1, b.ready("low"))
}

func TestVersionIsRolledWithoutLosingCapacity(t *testing.T) {
	b := newBench(t)
	r := b.process(&plug{})
	b.passes(r, 4, b.withinBudget)
	require.Equal(t, 4, b.ready("m1"))
	old := b.registry.Upstreams()
	b.site.Models[0].Version = "v2"
	b.passes(r, 30, func() {
		b.withinBudget()
		require.GreaterOrEqual(t, b.ready("m1"), 4, "capacity was lost")
	})
	require.Equal(t, 4, b.running()["all"])
	for _, u := range b.registry.Upstreams() {
		require.False(t, slices.ContainsFunc(old, func(o fleet.Upstream) bool { return o.ID == u.ID }), "an old version still runs")
	}
}

func TestWeightStoreRateIsKept(t *testing.T) {
	b := newBench(t)
	b.platform = nil
	now := time.Now()
	stand := platform.NewServer(platform.Options{Clock: func() time.Time { return now }, LoadsPerMinute: 6})
	server := httptest.NewServer(stand)
	defer server.Close()
	client := weights.NewClient(rest.NewClient(rest.Options{BaseURL: server.URL, CallsPerSecond: 1e6}), func() time.Time { return now })
	begun := 0
	for range 600 { // a minute
		err := client.Begin(t.Context(), weights.Load{Host: "h", Model: "m"})
		if err == nil {
			begun++
		} else {
			require.ErrorIs(t, err, weights.ErrBusy)
		}
		now = now.Add(100 * time.Millisecond)
	}
	require.GreaterOrEqual(t, begun, 6)
	require.LessOrEqual(t, begun, 8, "the burst and six a minute")
	require.LessOrEqual(t, stand.Counts().Total, uint64(20), "a busy store was asked again and again")
}
