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
	// ownedUpstreams is one node's share of the upstreams of the large site.
	ownedUpstreams = siteUpstreams / siteMembers
	// pollCount is how often each owned upstream is polled.
	pollCount = 200
	// engineCacheBlocks is the size of an engine's prefix cache in blocks.
	engineCacheBlocks = 4096
	engineReadTimeout = 5 * time.Second
)

// engineShare holds the engines of one node's upstreams, which run in this process.
type engineShare struct {
	listener  *countingListener
	server    *http.Server
	upstreams []fleet.Upstream
}

// newEngineShare starts the engines behind one listener, each with a path of its own.
func newEngineShare() (*engineShare, error) {
	inner, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // does not block
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
	go func() { _ = s.server.Serve(s.listener) }() // returns when the server is closed
	return s, nil
}

// measureObserver measures how an owner polls its upstreams for load and cache events.
func measureObserver() ([]Figure, error) {
	s, err := newEngineShare()
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.server.Close() }()
	self := memberN(0, time.Now(), "")
	random := rand.New(rand.NewPCG(randomSeed, randomSeed)) //nolint:gosec // not used for security
	ledger := owner.NewLedger(self.Node, self.FailureDomain, routing.CostPolicy{Weights: routing.WeightsFor(evenWeight)}, 0, random)
	ledger.Update(time.Now(), s.upstreams, []membership.Member{self})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	before := readUsage(true)
	observer := observe.New(ledger, engine.NewClient())
	observer.Poll(ctx)
	opened, bytesBefore := readUsage(true), s.listener.bytes.Load()
	timePerPoll := processorTimePerCall(pollCount, func(int) { observer.Poll(ctx) }) / ownedUpstreams
	pollBytes := s.listener.bytes.Load() - bytesBefore
	how := fmt.Sprintf("%d upstreams asked %d times, load and cache events, both ends, nothing new", ownedUpstreams, pollCount)
	return []Figure{
		{Name: "observe.look", Value: timePerPoll, Unit: unitMicroseconds, How: how},
		{Name: "observe.look_bytes", Value: float64(pollBytes) / pollCount / ownedUpstreams, Unit: unitBytes, How: how + ", both directions, without TCP headers"},
		{Name: "observe.memory", Value: memoryGrowth(opened, before), Unit: unitBytes, How: how + ", connections included"},
	}, nil
}
