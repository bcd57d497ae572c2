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
	// smallSiteNodes is the number of nodes of a site at today's size.
	smallSiteNodes = 6
	// nodeDomains is the number of failure domains of these nodes.
	nodeDomains = 3
	// nodeSettleTime is the time between the start of the nodes and their measurement,
	// nodeIdleTime the time that is measured.
	nodeSettleTime = 5 * time.Second
	nodeIdleTime   = 5 * time.Second
	// startAttempts is how often the start of a node is tried.
	startAttempts = 5
	// nodeDrainTime limits the drain of a node.
	nodeDrainTime = time.Second
)

// nodeSite is a number of complete nodes that use one stand-in of the platform.
type nodeSite struct {
	platform *platform.Server
	server   *httptest.Server
	nodes    []*node.Node
}

// freeAddress returns an address on loopback whose port is free at present.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // does not block
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

// nodeSettings returns the settings of the nth node, with free addresses.
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

// newNodeSite starts count nodes with the given number of listed upstreams. It also
// returns the site with an error, so that it can be stopped.
func newNodeSite(ctx context.Context, count, upstreams int) (*nodeSite, error) {
	s := &nodeSite{platform: platform.NewServer(platform.Options{Seed: 1})}
	s.server = httptest.NewServer(s.platform)
	if err := s.createLists(ctx, upstreams); err != nil {
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

// startNode starts the nth node and returns its peer address. It tries again with other
// addresses, because another process may take a free port first.
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

// createLists writes the lists of count upstreams to the object store, one object per
// failure domain.
func (s *nodeSite) createLists(ctx context.Context, count int) error {
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

// stop drains all nodes at once and stops the platform.
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

// measureNodes measures complete nodes without callers, with no upstreams and with those
// of the large site.
func measureNodes() ([]Figure, error) {
	var out []Figure
	for _, upstreams := range []int{0, siteUpstreams} {
		figures, err := measureNodesWith(upstreams)
		if err != nil {
			return out, err
		}
		out = append(out, figures...)
	}
	return out, nil
}

// measureNodesWith measures a site of smallSiteNodes nodes with the given number of
// upstreams.
func measureNodesWith(upstreams int) ([]Figure, error) {
	before := readUsage(true)
	s, err := newNodeSite(context.Background(), smallSiteNodes, upstreams)
	defer s.stop()
	if err != nil {
		return nil, err
	}
	time.Sleep(nodeSettleTime)
	opened, callsBefore := readUsage(true), s.platform.Counts()
	time.Sleep(nodeIdleTime)
	ended, counted := readUsage(false), s.platform.Counts()
	nodeSeconds := ended.wall.Sub(opened.wall).Seconds() * smallSiteNodes
	how := fmt.Sprintf("one of %d whole nodes without callers, %d upstreams listed, the stand-in's share included", smallSiteNodes, upstreams)
	name := func(what string) string { return fmt.Sprintf("node.%s.%d", what, upstreams) }
	figures := callsByVerb(&callsBefore, &counted, ended.wall.Sub(opened.wall).Seconds(), upstreams)
	return append(figures, []Figure{
		{Name: name("memory"), Value: memoryGrowth(opened, before) / smallSiteNodes, Unit: unitBytes, How: how},
		{Name: name("cpu"), Value: (ended.processor - opened.processor).Seconds() / nodeSeconds * percent, Unit: unitPercentOfCore, How: how},
		{Name: name("platform_calls"), Value: float64(counted.Total-callsBefore.Total) / nodeSeconds, Unit: unitPerSecond, How: how + ", waiting watches not counted"},
		{Name: name("platform_watches"), Value: float64(counted.WatchesWaiting) / smallSiteNodes, Unit: unitCount, How: how + ", waiting"},
	}...), nil
}

// callsByVerb returns the rate of platform calls of each verb, of all nodes together.
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
			How:   fmt.Sprintf("all %d nodes together, %d upstreams listed", smallSiteNodes, upstreams),
		})
	}
	return out
}
