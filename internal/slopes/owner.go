package slopes

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/routing"
)

const (
	// siteMembers and siteUpstreams are the sizes of the large site.
	siteMembers   = 460
	siteUpstreams = 11_000
	siteModels    = 12
	upstreamSlots = 16
	// decisions is how many reservations are measured, updates how many updates.
	decisions = 20_000
	updates   = 10
	// randomSeed seeds the choices of the measured owners.
	randomSeed = 1
	// evenWeight weighs latency and cost alike.
	evenWeight = 0.5
)

// upstreamN returns the nth upstream of the large site.
func upstreamN(n int) fleet.Upstream {
	domain := n % domains
	return fleet.Upstream{
		ID:            ident.Upstream(fmt.Sprintf("upstream-%05d", n)),
		URL:           fmt.Sprintf("http://10.%d.%d.%d:9001", domain, n/250, n%250),
		Host:          ident.Host(fmt.Sprintf("host-%05d", n/2)),
		HostClass:     "class-1",
		Region:        ident.Region(fmt.Sprintf("region-%d", domain%regions)),
		FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%02d", domain)),
		Models:        []ident.Model{ident.Model(fmt.Sprintf("model-%d", n/domains%siteModels))},
		Slots:         upstreamSlots,
		State:         fleet.StateReady,
	}
}

// owners measures the routing of one request and the upkeep of its tables at the large site.
func owners() ([]Figure, error) {
	var members []membership.Member
	for n := range siteMembers {
		members = append(members, memberN(n, time.Now(), fmt.Sprintf("10.9.%d.%d:7003", n/250, n%250)))
	}
	begin := now(true)
	var upstreams []fleet.Upstream
	for n := range siteUpstreams {
		upstreams = append(upstreams, upstreamN(n))
	}
	listed := now(true)
	random := rand.New(rand.NewPCG(randomSeed, randomSeed)) //nolint:gosec // a measurement
	policy := routing.Cost{Weights: routing.WeightsFor(evenWeight)}
	self := members[0]
	ledger := owner.NewLedger(self.Node, self.FailureDomain, policy, 0, random)
	directory := owner.NewDirectory(self, random)
	at := time.Now()
	ledgerUpdate := cost(updates, func(int) { ledger.Update(at, upstreams, members) })
	directoryUpdate := cost(updates, func(int) { directory.Update(upstreams, members) })
	built := now(true)
	runtime.KeepAlive(upstreams)
	asked := make(map[ident.Incarnation]struct{})
	choose := cost(decisions, func(n int) {
		choice, _ := directory.Choose(at, &routing.Features{Model: modelN(n), PromptTokens: 500})
		asked[choice.Owner] = struct{}{}
	})
	reserve := cost(decisions, func(n int) {
		id := owner.ReservationID{Holder: self.Incarnation.Hash(), Serial: uint64(n)}
		ledger.Reserve(at, &owner.ReserveArgs{ID: id, Model: modelN(n), PromptTokens: 500, MaxTokens: answerTokens})
		ledger.Release(at, id, routing.Outcome{})
	})
	how := fmt.Sprintf("%d upstreams, %d members, %d models", siteUpstreams, siteMembers, siteModels)
	return []Figure{
		{Name: "owner.choose", Value: choose, Unit: unitMicroseconds, How: how},
		{Name: "owner.asked", Value: float64(len(asked)), Unit: unitCount, How: fmt.Sprintf("%s, owners that one node asked for %d requests", how, decisions)},
		{Name: "owner.reserve_release", Value: reserve, Unit: unitMicroseconds, How: how},
		{Name: "owner.ledger_update", Value: ledgerUpdate, Unit: unitMicroseconds, How: how},
		{Name: "owner.directory_update", Value: directoryUpdate, Unit: unitMicroseconds, How: how},
		{Name: "owner.memory_tables", Value: signedDifference(built, listed), Unit: unitBytes, How: how},
		{Name: "owner.memory_fleet", Value: signedDifference(listed, begin), Unit: unitBytes, How: how},
	}, nil
}

func modelN(n int) ident.Model {
	return ident.Model(fmt.Sprintf("model-%d", n%siteModels))
}
