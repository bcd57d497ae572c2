package faulttest

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

const (
	callerToken   = "caller-token"
	operatorToken = "operator-token"
	workspace     = ident.Workspace("w")
	model         = "m"
	plainService  = "holds"
	domains       = 3
	// readyTimeout bounds how long a site may take to come up.
	readyTimeout = 60 * time.Second
	// tokenInterval is the time between two tokens of the stand-in engines.
	tokenInterval = 10 * time.Millisecond
	// serviceDelay is how long a call of the stand-in service takes.
	serviceDelay = 50 * time.Millisecond
)

// siteOptions say how large a site is.
type siteOptions struct {
	nodes    int
	engines  int
	services int
	seed     uint64
	// serviceDelay is how long a call of a plain service takes; 0 for the usual time.
	serviceDelay time.Duration
	// poison is a text that crashes every engine whose prompt holds it.
	poison string
}

// site is a whole site on loopback.
type site struct {
	t       *testing.T
	dir     string
	options siteOptions
	// peerToken keeps nodes that an earlier run left behind out of the site.
	peerToken string
	// platform is the base URL of the platform's stand-in.
	platform string
	nodes    []*node
	engines  []*upstream
	services []*upstream
	started  time.Time

	mu     sync.Mutex
	faults []historycheck.Fault
	calls  []historycheck.Call
	// changes and notMade are what operators were told, and versions what nodes had in force.
	changes  []historycheck.Change
	notMade  []ident.Change
	versions []historycheck.ObservedVersion
	// stored is what the store had at the end, nil before.
	stored *historycheck.StoredConfig
	// callers is how many callers were started.
	callers int

	// prober is the caller that sends to one node; proberOnce starts it.
	proberOnce sync.Once
	prober     *caller
}

// parallelSites is how many sites run at once.
const parallelSites = 3

// sites holds an element for each site that runs.
var sites = make(chan struct{}, parallelSites)

// startSite starts a site and waits until every node is an address of it. Its
// test runs beside others, each with a site of its own.
func startSite(t *testing.T, options siteOptions) *site {
	t.Helper()
	t.Parallel()
	sites <- struct{}{}
	t.Cleanup(func() { <-sites })
	s := &site{t: t, dir: t.TempDir(), options: options, peerToken: rand.Text(), started: time.Now()}
	t.Cleanup(s.showLogs)
	s.startPlatform()
	for i := range options.engines {
		s.engines = append(s.engines, s.startUpstream(roleEngine, i))
	}
	for i := range options.services {
		s.services = append(s.services, s.startUpstream(roleService, i))
	}
	s.declare()
	for i := range options.nodes {
		s.nodes = append(s.nodes, s.newNode(i))
	}
	for _, n := range s.nodes {
		s.startNode(n)
	}
	s.waitReady()
	return s
}

// declare writes configuration and upstreams into the object API.
func (s *site) declare() {
	store := objects.NewClient(objects.Options{BaseURL: s.platform})
	defer store.Close()
	document := config.Document{
		Site: config.Site{
			Models:     []config.Model{{Name: model, Version: "v1", Replicas: len(s.engines)}},
			Services:   []config.Service{{Name: plainService}},
			Workspaces: []config.Workspace{{Name: workspace, Share: 1}},
			Kinds:      []config.Kind{{Name: "chat", Worth: 1}, {Name: "dock-hold", Worth: 1}},
		},
		Recent: []config.ChangeRecord{{Change: "first"}},
	}
	s.create(store, config.SiteKind, config.SiteName, document)
	for i := range domains {
		list := fleet.DomainList{Upstreams: s.upstreamsOf(domainName(i))}
		s.create(store, fleet.UpstreamsKind, domainName(i), list)
	}
}

func (s *site) create(store *objects.Client, kind objects.Kind, name string, spec any) {
	data, err := json.Marshal(spec)
	require.NoError(s.t, err)
	ctx, cancel := context.WithTimeout(s.t.Context(), readyTimeout)
	defer cancel()
	_, err = store.Create(ctx, objects.Object{Kind: kind, Metadata: objects.Metadata{Name: name}, Spec: data})
	require.NoError(s.t, err)
}

// waitReady waits until the first node names every node, and one request of each kind was answered.
func (s *site) waitReady() {
	s.eventually("every node is an address", func() bool {
		return len(s.addresses(s.nodes[0])) == len(s.nodes) && len(s.addresses(s.nodes[len(s.nodes)-1])) == len(s.nodes)
	})
	for _, n := range s.nodes {
		s.eventually(n.name+" answers", func() bool {
			call := s.sendTo(n, chatCall("ready "+n.name))
			return call.Complete
		})
	}
}

// freeAddress returns an address for a listener.
func (s *site) freeAddress() string {
	address, err := freeAddress()
	require.NoError(s.t, err)
	return address
}

func (s *site) eventually(what string, done func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for !done() {
		if time.Now().After(deadline) {
			s.t.Fatalf("not in time: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

func (s *site) waitListening(url string) {
	s.eventually(url, func() bool {
		resp, err := http.Get(url)
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	})
}
