package capacity

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

// quieted is a settled site whose holder's last round had nothing to do.
func quieted(t *testing.T) (*bench, *Reconciler) {
	t.Helper()
	b, r, _ := settled(t)
	b.pass(r, passInterval)
	require.NotNil(t, r.quiet)
	before := r.rollouts.Load()
	b.pass(r, passInterval)
	require.Same(t, before, r.rollouts.Load(), "it planned though nothing changed")
	return b, r
}

func TestQuietHolderRestoresAListThatWasChanged(t *testing.T) {
	b, r := quieted(t)
	domain := b.registry.Upstreams()[0].FailureDomain
	none := func([]fleet.Upstream) []fleet.Upstream { return nil }
	require.NoError(t, b.registry.Set(t.Context(), domain, none))
	require.Less(t, b.ready("m1"), 4)
	b.pass(r, passInterval)
	require.Equal(t, 4, b.ready("m1"))
}

func TestQuietHolderFollowsPrices(t *testing.T) {
	b, r := quieted(t)
	b.site.Capacity[1].MaxPricePerHour = 0.1 // and d1's on-demand pool
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
	before := r.quiet
	b.pass(r, passInterval) // takes in the configuration alone
	require.NotSame(t, before, r.quiet)
	b.pass(r, passInterval)
	require.NotNil(t, r.quiet)
	b.platform.SetOffers(offers)
	b.pass(r, passInterval)
	require.Equal(t, 5, b.running()["all"], "a replica moves to the cheaper pool")
}

func TestNothingIsQuietWhileAHostDrains(t *testing.T) {
	b, r := quieted(t)
	b.site.Models[0].Replicas = 3
	for range 3 {
		b.pass(r, passInterval)
		require.Nil(t, r.quiet)
	}
	b.passes(r, 4, b.withinBudget)
	require.Equal(t, 3, b.running()["all"])
	require.NotNil(t, r.quiet)
}
