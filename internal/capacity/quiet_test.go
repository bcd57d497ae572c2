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
	b, r, _ := settledSite(t)
	b.passAfter(r, passInterval)
	require.NotNil(t, r.lastIdle)
	before := r.rollouts.Load()
	b.passAfter(r, passInterval)
	require.Same(t, before, r.rollouts.Load(), "a plan was made although nothing changed")
	return b, r
}

func TestIdleHolderRestoresChangedUpstreams(t *testing.T) {
	b, r := idleSite(t)
	domain := b.registry.Upstreams()[0].FailureDomain
	none := func([]fleet.Upstream) []fleet.Upstream { return nil }
	require.NoError(t, b.registry.Set(t.Context(), domain, none))
	require.Less(t, b.readyUpstreams("m1"), 4)
	b.passAfter(r, passInterval)
	require.Equal(t, 4, b.readyUpstreams("m1"))
}

func TestIdleHolderReactsToPriceChange(t *testing.T) {
	b, r := idleSite(t)
	b.site.Capacity[1].MaxPricePerHour = 0.1 // limits d1's on-demand pool
	var offers []platform.Offer
	for _, row := range b.site.Capacity {
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
	b.passAfter(r, passInterval) // takes up the configuration change only
	require.NotSame(t, before, r.lastIdle)
	b.passAfter(r, passInterval)
	require.NotNil(t, r.lastIdle)
	b.platform.SetOffers(offers)
	b.passAfter(r, passInterval)
	require.Equal(t, 5, b.runningByDomain()["all"], "a replica is being moved to the cheaper pool")
}

func TestRoundsAreNotIdleWhileAHostDrains(t *testing.T) {
	b, r := idleSite(t)
	b.site.Models[0].Replicas = 3
	for range 3 {
		b.passAfter(r, passInterval)
		require.Nil(t, r.lastIdle)
	}
	b.passes(r, 4, b.requireWithinMaxHosts)
	require.Equal(t, 3, b.runningByDomain()["all"])
	require.NotNil(t, r.lastIdle)
}
