package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

// idleSite returns a settled site whose last round had nothing to do.
func idleSite(t *testing.T) (*testSite, *Reconciler) {
	t.Helper()
	s, r, _ := settledSite(t)
	s.passAfter(r, passInterval)
	require.NotNil(t, r.lastIdle)
	before := r.rollouts.Load()
	s.passAfter(r, passInterval)
	require.Same(t, before, r.rollouts.Load(), "a plan was made although nothing changed")
	return s, r
}

func TestIdleHolderRestoresChangedUpstreams(t *testing.T) {
	s, r := idleSite(t)
	domain := s.registry.Upstreams()[0].FailureDomain
	none := func([]fleet.Upstream) []fleet.Upstream { return nil }
	require.NoError(t, s.registry.Set(t.Context(), domain, none))
	require.Less(t, s.readyUpstreams("m1"), 4)
	s.passAfter(r, passInterval)
	require.Equal(t, 4, s.readyUpstreams("m1"))
}

func TestIdleHolderReactsToPriceChange(t *testing.T) {
	s, r := idleSite(t)
	s.site.Capacity[1].MaxPricePerHour = 0.1 // the price limit of d1's on-demand pool
	var offers []platform.Offer
	for _, row := range s.site.Capacity {
		market, price := platform.MarketOnDemand, 3.0
		if row.Reclaimable {
			market, price = platform.MarketReclaimable, 1.0
		}
		if row.FailureDomain == "d1" && !row.Reclaimable {
			price = 0.1
		}
		offers = append(offers, platform.Offer{
			FailureDomain: string(row.FailureDomain), HostClass: "small", Market: market, PricePerHour: price, Available: 20,
		})
	}
	before := r.lastIdle
	s.passAfter(r, passInterval) // takes up the configuration change only
	require.NotSame(t, before, r.lastIdle)
	s.passAfter(r, passInterval)
	require.NotNil(t, r.lastIdle)
	s.platform.SetOffers(offers)
	s.passAfter(r, passInterval)
	require.Equal(t, 5, s.runningByDomain()["all"], "no replica is being moved to the cheaper pool")
}

func TestRoundsAreNotIdleWhileAHostDrains(t *testing.T) {
	s, r := idleSite(t)
	s.site.Models[0].Replicas = 3
	for range 3 {
		s.passAfter(r, passInterval)
		require.Nil(t, r.lastIdle)
	}
	s.passes(r, 4, s.requireWithinMaxHosts)
	require.Equal(t, 3, s.runningByDomain()["all"])
	require.NotNil(t, r.lastIdle)
}
