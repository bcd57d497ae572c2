package owner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/routing"
)

const (
	testRegions = 5
	testDomains = 20
	testNodes   = 200
)

// newMultiRegionFleet returns the upstreams and members of several regions. All
// upstreams serve model "m"; those of the first region also serve "only-r0".
func newMultiRegionFleet() ([]fleet.Upstream, []membership.Member) {
	var list []fleet.Upstream
	for n := range 4 * testNodes {
		domain := n % testDomains
		u := fleet.Upstream{
			ID: ident.Upstream(fmt.Sprintf("u%d", n)), Region: regionOf(domain), FailureDomain: domainName(domain),
			Models: []ident.Model{"m"}, Slots: testSlots, State: fleet.StateReady,
		}
		if u.Region == "r0" {
			u.Models = append(u.Models, "only-r0")
		}
		list = append(list, u)
	}
	var all []membership.Member
	for n := range testNodes {
		domain := n % testDomains
		node := ident.Node(fmt.Sprintf("n%d", n))
		all = append(all, membership.Member{
			Incarnation: ident.Incarnation(node + "_0"), Node: node, Region: regionOf(domain),
			FailureDomain: domainName(domain), PeerAddress: string(node),
		})
	}
	return list, all
}

func domainName(domain int) ident.FailureDomain {
	return ident.FailureDomain(fmt.Sprintf("d%d", domain))
}

func regionOf(domain int) ident.Region {
	return ident.Region(fmt.Sprintf("r%d", domain%testRegions))
}

func newTestDirectory(self membership.Member, list []fleet.Upstream, all []membership.Member) *Directory {
	d := NewDirectory(self, rand.New(rand.NewPCG(1, 2)))
	d.Update(list, all)
	return d
}

func regionsOf(all []membership.Member) map[ident.Incarnation]ident.Region {
	out := make(map[ident.Incarnation]ident.Region)
	for _, m := range all {
		out[m.Incarnation] = m.Region
	}
	return out
}

func TestChooseAsksAllOwnersOfOwnRegion(t *testing.T) {
	list, all := newMultiRegionFleet()
	d := newTestDirectory(all[1], list, all)
	regions := regionsOf(all)
	asked := make(map[ident.Incarnation]bool)
	for n := range 5000 {
		f := routing.Features{Model: "m", MaxTokens: 100, PromptTokens: 4000, Blocks: []routing.Block{routing.Block(n * 7919)}}
		choice, ok := d.Choose(start, &f)
		require.True(t, ok)
		require.Equal(t, all[1].Region, regions[choice.Owner])
		asked[choice.Owner] = true
	}
	require.Len(t, asked, testNodes/testRegions, "every owner of the region is asked")
}

func TestFullRegionFallsBackToFewOwnersOfOtherRegions(t *testing.T) {
	list, all := newMultiRegionFleet()
	d := newTestDirectory(all[1], list, all)
	regions := regionsOf(all)
	f := routing.Features{Model: "m", MaxTokens: 100}
	for _, m := range all {
		if m.Region == all[1].Region {
			d.MarkFull(m.Incarnation, f.Pool(), start.Add(time.Minute))
		}
	}
	asked := make(map[ident.Incarnation]bool)
	for range 5000 {
		choice, ok := d.Choose(start, &f)
		require.True(t, ok)
		require.NotEqual(t, all[1].Region, regions[choice.Owner])
		asked[choice.Owner] = true
	}
	require.LessOrEqual(t, len(asked), maxFallbackOwners)
	for owner := range asked {
		d.MarkFull(owner, f.Pool(), start.Add(time.Minute))
	}
	for range maxFallbackOwners {
		choice, ok := d.Choose(start, &f)
		if ok {
			d.MarkFull(choice.Owner, f.Pool(), start.Add(time.Minute))
		}
	}
	_, ok := d.Choose(start, &f)
	require.False(t, ok, "no choice when all owners are full")
}

func TestNodesOfRegionWithoutPoolAgreeOnFallbackRegion(t *testing.T) {
	list, all := newMultiRegionFleet()
	regions := regionsOf(all)
	prefix := routing.Features{Model: "only-r0", MaxTokens: 100, PromptTokens: 4000, Blocks: []routing.Block{77}}
	var first Choice
	for n, self := range []membership.Member{all[1], all[6], all[11]} {
		require.Equal(t, ident.Region("r1"), self.Region)
		choice, ok := newTestDirectory(self, list, all).Choose(start, &prefix)
		require.True(t, ok)
		require.Equal(t, ident.Region("r0"), regions[choice.Owner])
		if n == 0 {
			first = choice
		}
		require.Equal(t, first, choice, "nodes of one region send a prefix to the same owner")
	}
}

func TestOwnersOfLostNodesAreReplaced(t *testing.T) {
	list, all := newMultiRegionFleet()
	var remaining []membership.Member
	for _, m := range all {
		if m.Region != all[1].Region || m.Node == all[1].Node {
			remaining = append(remaining, m)
		}
	}
	d := newTestDirectory(all[1], list, remaining)
	f := routing.Features{Model: "m", MaxTokens: 100}
	choice, ok := d.Choose(start, &f)
	require.True(t, ok)
	require.Equal(t, all[1].Incarnation, choice.Owner, "the remaining node owns the region's upstreams")
	d.MarkFull(choice.Owner, f.Pool(), start.Add(time.Minute))
	choice, ok = d.Choose(start, &f)
	require.True(t, ok)
	require.NotEqual(t, all[1].Region, regionsOf(all)[choice.Owner])
}

func TestOwnerWithoutSummaryIsAskedAtLightLoad(t *testing.T) {
	list, all := newMultiRegionFleet()
	d := newTestDirectory(all[1], list, all)
	f := routing.Features{Model: "m", MaxTokens: 100}
	now := start
	asked := make(map[ident.Incarnation]bool)
	for range 5000 {
		now = now.Add(10 * time.Millisecond)
		choice, ok := d.Choose(now, &f)
		require.True(t, ok)
		asked[choice.Owner] = true
		d.RecordSummary(now, choice.Owner, Summary{Pool: PoolKeyOf(f.Pool()), Slots: 32, InFlight: 3})
	}
	require.Len(t, asked, testNodes/testRegions, "an owner without a summary is not assumed to be busier than the others")
}
