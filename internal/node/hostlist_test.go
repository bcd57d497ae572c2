package node

import (
	"context"
	"crypto/rand"
	"io"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/cloud"
	"mangoledge.example/mangoledge/internal/platform/rest"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

const (
	// eventTimeout is the time within which an expected event must happen. It is
	// generous, because the test does not check how fast the event happens.
	eventTimeout = 60 * time.Second
	pollInterval = 20 * time.Millisecond
)

// startHostListNode starts a node without a cloud. It reads the host list at hostListURL,
// or none when the URL is empty.
func startHostListNode(t *testing.T, domain ident.FailureDomain, token, objectsURL, hostListURL string, seeds []string) *Node {
	t.Helper()
	s := &settings.Settings{
		Node: ident.Node("n-" + domain), Region: "default", FailureDomain: domain, Host: ident.Host("h-" + domain),
		CallerListen: freeAddress(t), OperatorListen: freeAddress(t), PeerListen: freeAddress(t),
		PeerToken: token, Seeds: seeds,
		Platform: settings.Platform{ObjectsURL: objectsURL, HostListURL: hostListURL},
		Limits:   settings.Limits{MaxBodyBytes: 1 << 20, MaxHeaderBytes: 16 << 10, MaxConcurrent: 16, HeaderTimeoutMs: 5000, BodyTimeoutMs: 5000, DrainTimeoutMs: 1000, AddressKeepMs: 1000},
	}
	s.CallerURL, s.PeerAdvertise = "http://"+s.CallerListen, s.PeerListen
	n, err := New(s, io.Discard)
	require.NoError(t, err)
	require.NoError(t, n.Start(t.Context()))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		n.Drain(ctx)
	})
	return n
}

// TestHostListNoticeReachesEveryNode checks that a node without a host list receives the
// mark of a reclaimed host from two nodes that read the list.
func TestHostListNoticeReachesEveryNode(t *testing.T) {
	site := platform.NewServer(platform.Options{HostListLag: time.Millisecond})
	server := httptest.NewServer(site)
	t.Cleanup(server.Close)
	pool := cloud.Pool{FailureDomain: "a", HostClass: "small", Market: cloud.MarketReclaimable}
	site.SetOffers([]platform.Offer{{FailureDomain: "a", HostClass: "small", Market: platform.MarketReclaimable, Available: 1}})
	calls := rest.NewClient(rest.Options{BaseURL: server.URL})
	t.Cleanup(calls.Close)
	host, err := cloud.NewClient(calls).Start(t.Context(), cloud.Start{ClientToken: "upstream", Pool: pool})
	require.NoError(t, err)

	token := rand.Text()
	var nodes []*Node
	var seeds []string
	for _, domain := range []ident.FailureDomain{"a", "b", "c"} {
		list := server.URL
		if domain == "c" {
			list = ""
		}
		n := startHostListNode(t, domain, token, server.URL, list, seeds)
		nodes = append(nodes, n)
		seeds = append(seeds, n.settings.PeerListen)
	}
	for _, n := range nodes {
		require.Eventually(t, func() bool { return len(n.members.Members()) == len(nodes) }, eventTimeout, pollInterval)
	}
	require.Equal(t, 1, site.Reclaim(string(host.ID), "", "", time.Hour))
	byList := func(m fleet.Mark) bool { return m.Subject.Host == host.ID && m.Source == fleet.SourceHostList }
	for _, n := range nodes {
		require.Eventually(t, func() bool { return slices.ContainsFunc(n.control.leaving.Marks(), byList) }, eventTimeout, pollInterval)
	}
}
