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
	domainCount   = 3
	// readyTimeout is how long a site may take to become ready, and the timeout of other waits
	// and of calls to the object store.
	readyTimeout = 60 * time.Second
	// tokenInterval is the time between two tokens of the stand-in engines.
	tokenInterval = 10 * time.Millisecond
	// serviceDelay is how long a call of the stand-in service takes.
	serviceDelay = 50 * time.Millisecond
)

// siteOptions are the options of a site.
type siteOptions struct {
	nodes    int
	engines  int
	services int
	seed     uint64
	// serviceDelay is how long a call of a plain service takes; 0 means the constant serviceDelay.
	serviceDelay time.Duration
	// replyBytes is the least length of a reply of a plain service, in bytes.
	replyBytes int
	// poison is a text that crashes every engine that runs a prompt with it.
	poison string
	// memoryMB is the memory limit of the nodes; 0 means the default.
	memoryMB int
}

// site is a site of nodes, engines, services and a platform on loopback.
type site struct {
	t       *testing.T
	dir     string
	options siteOptions
	// peerToken is random, so that nodes left over from an earlier run cannot join the site.
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
	// changes and rejectedChanges are the outcomes that operators received; observedVersions are
	// the versions that nodes had in force.
	changes          []historycheck.Change
	rejectedChanges  []ident.Change
	observedVersions []historycheck.ObservedVersion
	// storedConfig is the configuration in the store at the end; nil before.
	storedConfig *historycheck.StoredConfig
	// startedCallers is the number of callers that were started.
	startedCallers int

	// prober is the caller that sendTo uses; proberOnce starts it.
	proberOnce sync.Once
	prober     *caller
}

// maxParallelSites is the maximum number of sites that run at once.
const maxParallelSites = 3

// siteSlots holds an element for each site that runs.
var siteSlots = make(chan struct{}, maxParallelSites)

// startSite starts a site and waits until it is ready. The test runs in parallel with others,
// each with a site of its own.
func startSite(t *testing.T, options siteOptions) *site {
	t.Helper()
	t.Parallel()
	siteSlots <- struct{}{}
	t.Cleanup(func() { <-siteSlots })
	return startSiteAlone(t, options)
}

// startSiteAlone starts a site and waits until it is ready. The test runs apart from those of startSite.
func startSiteAlone(t *testing.T, options siteOptions) *site {
	t.Helper()
	s := &site{t: t, dir: t.TempDir(), options: options, peerToken: rand.Text(), started: time.Now()}
	t.Cleanup(s.showLogsOnFailure)
	s.startPlatform()
	for i := range options.engines {
		s.engines = append(s.engines, s.startUpstream(roleEngine, i))
	}
	for i := range options.services {
		s.services = append(s.services, s.startUpstream(roleService, i))
	}
	s.createConfiguration()
	for i := range options.nodes {
		s.nodes = append(s.nodes, s.newNode(i))
	}
	for _, n := range s.nodes {
		s.startNode(n)
	}
	s.waitReady()
	return s
}

// createConfiguration creates the configuration and the lists of upstreams in the object store.
func (s *site) createConfiguration() {
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
	s.createObject(store, config.SiteKind, config.SiteName, document)
	for i := range domainCount {
		list := fleet.DomainList{Upstreams: s.upstreamsOf(domainName(i))}
		s.createObject(store, fleet.UpstreamsKind, domainName(i), list)
	}
}

// createObject creates an object in the store.
func (s *site) createObject(store *objects.Client, kind objects.Kind, name string, spec any) {
	data, err := json.Marshal(spec)
	require.NoError(s.t, err)
	ctx, cancel := context.WithTimeout(s.t.Context(), readyTimeout)
	defer cancel()
	_, err = store.Create(ctx, objects.Object{Kind: kind, Metadata: objects.Metadata{Name: name}, Spec: data})
	require.NoError(s.t, err)
}

// waitReady waits until the address books of the first and last node list every node and each
// node has answered a chat request.
func (s *site) waitReady() {
	s.eventually("every node is in the address books", func() bool {
		return len(s.addresses(s.nodes[0])) == len(s.nodes) && len(s.addresses(s.nodes[len(s.nodes)-1])) == len(s.nodes)
	})
	for _, n := range s.nodes {
		s.eventually(n.name+" answers", func() bool {
			call := s.sendTo(n, chatSubmission("ready "+n.name))
			return call.Complete
		})
	}
}

// freeAddress returns a free address on loopback and fails the test if there is none.
func (s *site) freeAddress() string {
	address, err := freeAddress()
	require.NoError(s.t, err)
	return address
}

// eventually waits until done reports true and fails the test after readyTimeout; what names
// the awaited condition.
func (s *site) eventually(what string, done func() bool) {
	s.t.Helper()
	deadline := time.Now().Add(readyTimeout)
	for !done() {
		if time.Now().After(deadline) {
			s.t.Fatalf("timed out: %s", what)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// waitListening waits until an HTTP server answers at url.
func (s *site) waitListening(url string) {
	s.eventually(url, func() bool {
		resp, err := http.Get(url)
		if err != nil {
			return false
		}
		return resp.Body.Close() == nil
	})
}
