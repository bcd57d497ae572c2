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
	// siteMembers, siteUpstreams and siteModels are the numbers of members, upstreams and
	// models of the large site.
	siteMembers   = 460
	siteUpstreams = 11_000
	siteModels    = 12
	upstreamSlots = 16
	// reservationCount is how many reservations are measured, updateCount how many updates
	// of each table.
	reservationCount = 20_000
	updateCount      = 10
	// randomSeed seeds the random choices of the measured owners.
	randomSeed = 1
	// evenWeight gives latency and cost the same weight.
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

// measureOwner measures the routing of one request and the updates of its tables at the
// size of the large site.
func measureOwner() ([]Figure, error) {
	var members []membership.Member
	for n := range siteMembers {
		members = append(members, memberN(n, time.Now(), fmt.Sprintf("10.9.%d.%d:7003", n/250, n%250)))
	}
	begin := readUsage(true)
	var upstreams []fleet.Upstream
	for n := range siteUpstreams {
		upstreams = append(upstreams, upstreamN(n))
	}
	listed := readUsage(true)
	random := rand.New(rand.NewPCG(randomSeed, randomSeed)) //nolint:gosec // not used for security
	policy := routing.CostPolicy{Weights: routing.WeightsFor(evenWeight)}
	self := members[0]
	ledger := owner.NewLedger(self.Node, self.FailureDomain, policy, 0, random)
	directory := owner.NewDirectory(self, random)
	at := time.Now()
	ledgerUpdateTime := processorTimePerCall(updateCount, func(int) { ledger.Update(at, upstreams, members) })
	directoryUpdateTime := processorTimePerCall(updateCount, func(int) { directory.Update(upstreams, members) })
	built := readUsage(true)
	runtime.KeepAlive(upstreams)
	ownersAsked := make(map[ident.Incarnation]struct{})
	chooseTime := processorTimePerCall(reservationCount, func(n int) {
		choice, _ := directory.Choose(at, &routing.Features{Model: modelN(n), PromptTokens: 500})
		ownersAsked[choice.Owner] = struct{}{}
	})
	reserveTime := processorTimePerCall(reservationCount, func(n int) {
		id := owner.ReservationID{Holder: self.Incarnation.Hash(), Serial: uint64(n)}
		ledger.Reserve(at, &owner.ReserveArgs{ID: id, Model: modelN(n), PromptTokens: 500, MaxTokens: answerTokens})
		ledger.Release(at, id, routing.Outcome{})
	})
	how := fmt.Sprintf("%d upstreams, %d members, %d models", siteUpstreams, siteMembers, siteModels)
	return []Figure{
		{Name: "owner.choose", Value: chooseTime, Unit: unitMicroseconds, How: how},
		{Name: "owner.asked", Value: float64(len(ownersAsked)), Unit: unitCount, How: fmt.Sprintf("%s, owners that one node asked for %d requests", how, reservationCount)},
		{Name: "owner.reserve_release", Value: reserveTime, Unit: unitMicroseconds, How: how},
		{Name: "owner.ledger_update", Value: ledgerUpdateTime, Unit: unitMicroseconds, How: how},
		{Name: "owner.directory_update", Value: directoryUpdateTime, Unit: unitMicroseconds, How: how},
		{Name: "owner.memory_tables", Value: memoryGrowth(built, listed), Unit: unitBytes, How: how},
		{Name: "owner.memory_fleet", Value: memoryGrowth(listed, begin), Unit: unitBytes, How: how},
	}, nil
}

// modelN returns the model of the nth request; the models are used in turn.
func modelN(n int) ident.Model {
	return ident.Model(fmt.Sprintf("model-%d", n%siteModels))
}
