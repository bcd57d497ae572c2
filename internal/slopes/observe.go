package slopes

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/observe"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/routing"
	standinengine "mangoledge.example/mangoledge/internal/standin/engine"
)

const (
	// ownedUpstreams is one node's share of the upstreams.
	ownedUpstreams = siteUpstreams / siteMembers
	// looks is how often each owned upstream is asked.
	looks = 200
	// engineCacheBlocks is the size of an engine's prefix cache.
	engineCacheBlocks = 4096
	engineReadTimeout = 5 * time.Second
)

// engineShare is the engines of one node's upstreams, in this process.
type engineShare struct {
	listener  *countingListener
	server    *http.Server
	upstreams []fleet.Upstream
}

// newEngineShare starts the engines at one listener, each under a path of its own.
func newEngineShare() (*engineShare, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // opens at once
	if err != nil {
		return nil, err
	}
	s := &engineShare{listener: &countingListener{Listener: inner}}
	mux := http.NewServeMux()
	for n := range ownedUpstreams {
		e, err := standinengine.New(standinengine.Options{ID: fmt.Sprintf("engine-%d", n), Slots: upstreamSlots, CacheBlocks: engineCacheBlocks, Seed: randomSeed})
		if err != nil {
			return nil, err
		}
		path := fmt.Sprintf("/engine-%d", n)
		mux.Handle(path+"/", http.StripPrefix(path, e.Handler()))
		u := upstreamN(n * domains)
		u.URL = "http://" + inner.Addr().String() + path
		s.upstreams = append(s.upstreams, u)
	}
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: engineReadTimeout}
	go func() { _ = s.server.Serve(s.listener) }() // ends with the server
	return s, nil
}

// observers measures how an owner asks its upstreams for load and cache events.
func observers() ([]Figure, error) {
	s, err := newEngineShare()
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.server.Close() }()
	self := memberN(0, time.Now(), "")
	random := rand.New(rand.NewPCG(randomSeed, randomSeed)) //nolint:gosec // a measurement
	ledger := owner.NewLedger(self.Node, self.FailureDomain, routing.Cost{Weights: routing.WeightsFor(evenWeight)}, 0, random)
	ledger.Update(time.Now(), s.upstreams, []membership.Member{self})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	before := now(true)
	observer := observe.New(ledger, engine.NewClient())
	observer.Poll(ctx)
	opened, moved := now(true), s.listener.bytes.Load()
	quiet := cost(looks, func(int) { observer.Poll(ctx) }) / ownedUpstreams
	quietBytes := s.listener.bytes.Load() - moved
	how := fmt.Sprintf("%d upstreams asked %d times, load and cache events, both ends, nothing new", ownedUpstreams, looks)
	return []Figure{
		{Name: "observe.look", Value: quiet, Unit: unitMicroseconds, How: how},
		{Name: "observe.look_bytes", Value: float64(quietBytes) / looks / ownedUpstreams, Unit: unitBytes, How: how + ", both directions, without TCP headers"},
		{Name: "observe.memory", Value: signedDifference(opened, before), Unit: unitBytes, How: how + ", connections included"},
	}, nil
}
