package slopes

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http/httptest"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/node"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/standin/platform"
	"mangoledge.example/mangoledge/internal/testbed"
)

const (
	// todayNodes is the size of a site of today.
	todayNodes = 6
	// nodeDomains is in how many failure domains they are.
	nodeDomains = 3
	// nodeSettleTime passes between the start of nodes and their measurement, nodeIdleTime is measured.
	nodeSettleTime = 5 * time.Second
	nodeIdleTime   = 5 * time.Second
	// startAttempts is how often the start of a node is tried.
	startAttempts = 5
	// nodeDrainTime bounds the end of a node.
	nodeDrainTime = time.Second
)

// nodeSite is a number of whole nodes before one stand-in of the platform.
type nodeSite struct {
	platform *platform.Server
	server   *httptest.Server
	nodes    []*node.Node
}

// freeAddress returns an address on loopback that nobody uses now.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // opens at once
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

func nodeSettings(n int, platformURL string, seeds []string) (*settings.Settings, error) {
	var addresses [3]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	s := settings.Settings{
		Node: ident.Node(fmt.Sprintf("node-%d", n)), Region: "region-0",
		FailureDomain: ident.FailureDomain(fmt.Sprintf("domain-%02d", n%nodeDomains)),
		CallerListen:  addresses[0], OperatorListen: addresses[1], PeerListen: addresses[2],
		PeerToken: "slopes-and-nothing-else", Seeds: seeds,
		Platform: settings.Platform{
			ObjectsURL: platformURL, CloudURL: platformURL, HostListURL: platformURL, WeightsURL: platformURL,
		},
	}
	data, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	return settings.Parse(data)
}

func newNodeSite(ctx context.Context, count, upstreams int) (*nodeSite, error) {
	s := &nodeSite{platform: platform.NewServer(platform.Options{Seed: 1})}
	s.server = httptest.NewServer(s.platform)
	if err := s.list(ctx, upstreams); err != nil {
		return s, err
	}
	var seeds []string
	for n := range count {
		started, address, err := startNode(ctx, n, s.server.URL, seeds)
		if err != nil {
			return s, err
		}
		s.nodes = append(s.nodes, started)
		seeds = append(seeds, address)
	}
	return s, nil
}

// startNode starts the nth node and returns its peer address. It tries again with
// other addresses, since somebody else may take a free one first.
func startNode(ctx context.Context, n int, platformURL string, seeds []string) (started *node.Node, address string, err error) {
	for range startAttempts {
		var own *settings.Settings
		if own, err = nodeSettings(n, platformURL, seeds); err != nil {
			return nil, "", err
		}
		if started, err = node.New(own, io.Discard); err != nil {
			continue
		}
		if err = started.Start(ctx); err == nil {
			return started, own.PeerAdvertise, nil
		}
	}
	return nil, "", err
}

// list writes the lists of upstreams, one object a failure domain.
func (s *nodeSite) list(ctx context.Context, count int) error {
	upstreams := make([]fleet.Upstream, 0, count)
	for n := range count {
		u := upstreamN(n)
		u.URL = "http://127.0.0.1:1" // nothing is sent there
		upstreams = append(upstreams, u)
	}
	client := objects.NewClient(objects.Options{BaseURL: s.server.URL, Budget: objects.NewBudget(ampleBudget, ampleBudget)})
	defer client.Close()
	return testbed.CreateUpstreamLists(ctx, client, upstreams)
}

func (s *nodeSite) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), nodeDrainTime)
	defer cancel()
	var ended sync.WaitGroup
	for _, n := range s.nodes {
		ended.Go(func() { n.Drain(ctx) })
	}
	ended.Wait()
	s.server.CloseClientConnections()
	s.server.Close()
}

// wholeNodes measures nodes of today's number that nobody calls, with no
// upstreams and with those of the large site.
func wholeNodes() ([]Figure, error) {
	var out []Figure
	for _, upstreams := range []int{0, siteUpstreams} {
		figures, err := wholeNodesWith(upstreams)
		if err != nil {
			return out, err
		}
		out = append(out, figures...)
	}
	return out, nil
}

func wholeNodesWith(upstreams int) ([]Figure, error) {
	before := now(true)
	s, err := newNodeSite(context.Background(), todayNodes, upstreams)
	defer s.stop()
	if err != nil {
		return nil, err
	}
	time.Sleep(nodeSettleTime)
	opened, calls := now(true), s.platform.Counts()
	time.Sleep(nodeIdleTime)
	ended, counted := now(false), s.platform.Counts()
	nodeSeconds := ended.wall.Sub(opened.wall).Seconds() * todayNodes
	how := fmt.Sprintf("one of %d whole nodes without callers, %d upstreams listed, the stand-in's share included", todayNodes, upstreams)
	name := func(what string) string { return fmt.Sprintf("node.%s.%d", what, upstreams) }
	figures := callsByVerb(&calls, &counted, ended.wall.Sub(opened.wall).Seconds(), upstreams)
	return append(figures, []Figure{
		{Name: name("memory"), Value: signedDifference(opened, before) / todayNodes, Unit: unitBytes, How: how},
		{Name: name("cpu"), Value: (ended.processor - opened.processor).Seconds() / nodeSeconds * percent, Unit: unitPercentOfCore, How: how},
		{Name: name("platform_calls"), Value: float64(counted.Total-calls.Total) / nodeSeconds, Unit: unitPerSecond, How: how + ", waiting watches not counted"},
		{Name: name("platform_watches"), Value: float64(counted.WatchesWaiting) / todayNodes, Unit: unitCount, How: how + ", waiting"},
	}...), nil
}

// callsByVerb tells what the calls were, of all nodes together.
func callsByVerb(before, after *platform.Counts, seconds float64, upstreams int) []Figure {
	earlier := make(map[string]uint64)
	key := func(c platform.VerbCount) string { return string(c.Service) + "_" + c.Verb }
	for _, c := range before.Calls {
		earlier[key(c)] = c.Calls
	}
	var out []Figure
	for _, c := range after.Calls {
		out = append(out, Figure{
			Name:  fmt.Sprintf("node.calls_%s.%d", key(c), upstreams),
			Value: float64(c.Calls-earlier[key(c)]) / seconds,
			Unit:  unitPerSecond,
			How:   fmt.Sprintf("all %d nodes together, %d upstreams listed", todayNodes, upstreams),
		})
	}
	return out
}
