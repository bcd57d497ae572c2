package faulttest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/standin/engine"
	"mangoledge.example/mangoledge/internal/standin/history"
	"mangoledge.example/mangoledge/internal/standin/platform"
	"mangoledge.example/mangoledge/internal/standin/service"
)

const (
	callerToken   = "caller-token"
	operatorToken = "operator-token"
	peerToken     = "peer-token"
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
	// env is added to the environment of every node.
	env []string
	// poison is a text that crashes every engine whose prompt holds it.
	poison string
}

// node is one entry host.
type node struct {
	name     string
	settings settings.Settings
	file     string
	process  *process
	callers  *link
	peers    *link
}

// upstream is one stand-in with its link.
type upstream struct {
	name    string
	domain  string
	host    ident.Host
	address string
	role    role
	process *process
	link    *link
}

// site is a whole site on loopback.
type site struct {
	t       *testing.T
	dir     string
	options siteOptions
	// platform is the base URL of the platform's stand-in.
	platform string
	nodes    []*node
	engines  []*upstream
	services []*upstream
	started  time.Time

	mu     sync.Mutex
	faults []historycheck.Fault
	calls  []historycheck.Call
}

// startSite starts a site and waits until every node is an address of it.
func startSite(t *testing.T, options siteOptions) *site {
	t.Helper()
	s := &site{t: t, dir: t.TempDir(), options: options, started: time.Now()}
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

func (s *site) startPlatform() {
	address := freeAddress(s.t)
	s.startRole("platform", role{Kind: rolePlatform, Listen: address, Seed: s.options.seed})
	s.platform = "http://" + address
	s.waitListening(s.platform + "/counts")
	s.offerHosts()
}

func (s *site) startRole(name string, r role) *process {
	s.t.Helper()
	text, err := json.Marshal(r)
	require.NoError(s.t, err)
	return startProcess(s.t, s.dir, name, os.Args[0], []string{roleVariable + "=" + string(text)})
}

func (s *site) startUpstream(kind roleKind, i int) *upstream {
	name := fmt.Sprintf("%s%d", kind, i)
	path := filepath.Join(s.dir, name+".history")
	address := freeAddress(s.t)
	r := role{
		Kind:    kind,
		Listen:  address,
		Engine:  engine.Options{ID: name, Slots: 32, TokenInterval: tokenInterval, IgnoreFencing: true, PoisonMarker: s.options.poison, Seed: s.options.seed + uint64(i), HistoryPath: path},
		Service: service.Options{ID: name, Delay: serviceDelay, HistoryPath: path},
	}
	u := &upstream{name: name, domain: domainName(i), host: s.newHost(name, domainName(i)), address: address, role: r}
	u.process = s.startRole(name, r)
	u.link = newLink(s.t, name, address, false)
	s.waitListening("http://" + address + "/")
	return u
}

func domainName(i int) string {
	return fmt.Sprintf("d%d", i%domains)
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

func (s *site) upstreamsOf(domain string) []fleet.Upstream {
	out := []fleet.Upstream{}
	add := func(u *upstream, models []ident.Model, plain ident.Service) {
		if u.domain != domain {
			return
		}
		out = append(out, fleet.Upstream{
			ID: ident.Upstream(u.name), URL: "http://" + u.link.address, Host: u.host,
			FailureDomain: ident.FailureDomain(domain), HostClass: hostClass, Region: "default", Models: models, Service: plain,
			Slots: 32, PricePerHour: 1, Reclaimable: true, State: fleet.StateReady,
		})
	}
	for _, u := range s.engines {
		add(u, []ident.Model{model}, "")
	}
	for _, u := range s.services {
		add(u, nil, plainService)
	}
	return out
}

// newNode makes a node with its links; it is not started yet.
func (s *site) newNode(i int) *node {
	name := fmt.Sprintf("n%d", i)
	callerAddress, peerAddress := freeAddress(s.t), freeAddress(s.t)
	n := &node{
		name:    name,
		file:    filepath.Join(s.dir, name+".json"),
		callers: newLink(s.t, name+" callers", callerAddress, false),
		peers:   newLink(s.t, name+" peers", peerAddress, true),
	}
	n.settings = settings.Settings{
		Node:           ident.Node(name),
		Region:         "default",
		FailureDomain:  ident.FailureDomain(domainName(i)),
		Host:           s.newHost(name, domainName(i)),
		CallerListen:   callerAddress,
		CallerURL:      "http://" + n.callers.address,
		OperatorListen: freeAddress(s.t),
		PeerListen:     peerAddress,
		PeerAdvertise:  n.peers.address,
		PeerToken:      peerToken,
		Platform:       settings.Platform{ObjectsURL: s.platform, CloudURL: s.platform, HostListURL: s.platform, WeightsURL: s.platform},
		Tokens: []settings.Token{
			{Name: "caller", Role: settings.RoleCaller, Workspace: workspace, SHA256: auth.Digest(callerToken)},
			{Name: "operator", Role: settings.RoleOperator, SHA256: auth.Digest(operatorToken)},
		},
		Log:    settings.Log{Level: "debug", Format: "text"},
		Limits: settings.Limits{AddressKeepMs: 1000, DrainTimeoutMs: 15000},
	}
	for _, other := range s.nodes {
		n.settings.Seeds = append(n.settings.Seeds, other.peers.address)
	}
	return n
}

// startNode starts a process for n, with a new incarnation.
func (s *site) startNode(n *node) {
	data, err := json.Marshal(n.settings)
	require.NoError(s.t, err)
	require.NoError(s.t, os.WriteFile(n.file, data, 0o600))
	n.process = startProcess(s.t, s.dir, n.name, daemon(s.t), s.options.env, "--settings", n.file)
}

// waitReady waits until the first node names every node, and one request of each kind was answered.
func (s *site) waitReady() {
	s.eventually("every node is an address", func() bool {
		return len(s.addresses(s.nodes[0])) == len(s.nodes) && len(s.addresses(s.nodes[len(s.nodes)-1])) == len(s.nodes)
	})
	for _, n := range s.nodes {
		s.eventually(n.name+" answers", func() bool {
			call := s.sendTo(n, chatCall("ready "+n.name))
			return call.Whole
		})
	}
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

// addresses asks n itself for the addresses of the site.
func (s *site) addresses(n *node) []callerapi.Address {
	book := s.book(n)
	if book == nil {
		return nil
	}
	return book.Addresses
}

func (s *site) book(n *node) *callerapi.AddressBook {
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+n.callers.address+"/v1/addresses", nil)
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+callerToken)
	resp, err := shortClient.Do(req)
	if err != nil {
		return nil
	}
	defer func() { _ = resp.Body.Close() }()
	book := new(callerapi.AddressBook)
	if json.NewDecoder(resp.Body).Decode(book) != nil || resp.StatusCode != http.StatusOK {
		return nil
	}
	return book
}

// shortClient makes small calls of the harness itself.
var shortClient = &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// fault notes a fault and returns its index.
func (s *site) fault(kind historycheck.FaultKind, target, address string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, historycheck.Fault{Kind: kind, Target: target, Address: address, At: time.Now(), Till: time.Now().Add(time.Hour)})
	return len(s.faults) - 1
}

// over notes that a fault has ended; its effects may last a little longer.
func (s *site) over(fault int, after time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[fault].Till = time.Now().Add(after)
}

// settle is how long an unannounced fault may still be felt after its end.
const settle = 10 * time.Second

// killNode ends a node without a word.
func (s *site) killNode(n *node) {
	at := s.fault(historycheck.FaultKill, n.name, n.settings.CallerURL)
	n.process.kill()
	s.over(at, settle)
}

// pauseNode stops a node's process for d.
func (s *site) pauseNode(n *node, d time.Duration) {
	at := s.fault(historycheck.FaultPause, n.name, n.settings.CallerURL)
	n.process.signal(syscall.SIGSTOP)
	time.Sleep(d)
	n.process.signal(syscall.SIGCONT)
	s.over(at, settle)
}

// stopNode stops a node by plan and reports whether it ended in time.
func (s *site) stopNode(n *node) bool {
	at := s.fault(historycheck.FaultStop, n.name, n.settings.CallerURL)
	n.process.signal(syscall.SIGTERM)
	ok := n.process.ended(endTimeout)
	s.over(at, 0)
	return ok
}

// reclaimUpstream has the platform give an upstream's host notice, and ends its
// process and its link when the notice has run out.
func (s *site) reclaimUpstream(u *upstream, notice time.Duration) {
	at := s.fault(historycheck.FaultReclaim, u.name, "")
	s.put(http.MethodPost, "/control/reclaim", reclaimOrder{Host: string(u.host), NoticeMs: notice.Milliseconds()}, nil)
	s.order(u, engine.Faults{ReclaimNoticeMs: notice.Milliseconds()})
	if !u.process.ended(notice + time.Second) {
		u.process.kill()
	}
	u.link.end()
	s.over(at, 0)
}

// reclaimNode has the platform give a node's host notice, and ends its process
// when the notice has run out.
func (s *site) reclaimNode(n *node, notice time.Duration) {
	at := s.fault(historycheck.FaultReclaim, n.name, n.settings.CallerURL)
	s.put(http.MethodPost, "/control/reclaim", reclaimOrder{Host: string(n.settings.Host), NoticeMs: notice.Milliseconds()}, nil)
	if !n.process.ended(notice) {
		n.process.kill()
	}
	s.over(at, 0)
}

// reclaimOrder is the body of the platform's POST /control/reclaim.
type reclaimOrder struct {
	Host     string `json:"host"`
	NoticeMs int64  `json:"noticeMs"`
}

// hostOrder is the body of the platform's POST /cloud/v1/hosts.
type hostOrder struct {
	ClientToken   string          `json:"clientToken"`
	FailureDomain string          `json:"failureDomain"`
	HostClass     string          `json:"hostClass"`
	Market        platform.Market `json:"market"`
}

// hostClass is the host class of all hosts.
const hostClass = "entry"

// newHost has the platform start a host and returns its name.
func (s *site) newHost(name, domain string) ident.Host {
	var host platform.Host
	s.put(http.MethodPost, "/cloud/v1/hosts", hostOrder{ClientToken: name, FailureDomain: domain, HostClass: hostClass, Market: platform.MarketReclaimable}, &host)
	require.NotEmpty(s.t, host.ID)
	return ident.Host(host.ID)
}

// offerHosts has the platform offer hosts.
func (s *site) offerHosts() {
	var offers []platform.Offer
	for i := range domains {
		offers = append(offers, platform.Offer{FailureDomain: domainName(i), HostClass: hostClass, Market: platform.MarketReclaimable, PricePerHour: 1, Available: 100})
	}
	s.put(http.MethodPut, "/control/offers", offers, nil)
}

// put sends body to the platform and reads the answer into out, if it is not nil.
func (s *site) put(method, path string, body, out any) {
	data, err := json.Marshal(body)
	require.NoError(s.t, err)
	req, err := http.NewRequestWithContext(s.t.Context(), method, s.platform+path, bytes.NewReader(data))
	require.NoError(s.t, err)
	resp, err := shortClient.Do(req)
	require.NoError(s.t, err)
	defer func() { _ = resp.Body.Close() }()
	require.Less(s.t, resp.StatusCode, http.StatusBadRequest, path)
	if out != nil {
		require.NoError(s.t, json.NewDecoder(resp.Body).Decode(out))
	}
}

// order sends a fault command to a stand-in, past its link.
func (s *site) order(u *upstream, faults any) {
	data, err := json.Marshal(faults)
	require.NoError(s.t, err)
	resp, err := shortClient.Post("http://"+u.address+"/faults", "application/json", bytes.NewReader(data))
	if err == nil {
		_ = resp.Body.Close()
	}
}

// history returns what callers and stand-ins wrote so far.
func (s *site) history() *historycheck.History {
	var paths []string
	for _, u := range append(append([]*upstream{}, s.engines...), s.services...) {
		if path := u.role.Engine.HistoryPath; path != "" {
			if _, err := os.Stat(path); err == nil {
				paths = append(paths, path)
			}
		}
	}
	runs, err := history.Read(paths...)
	require.NoError(s.t, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return &historycheck.History{Calls: s.calls, Runs: runs, Faults: s.faults}
}

// check fails the test for each violation of the history.
func (s *site) check() {
	s.t.Helper()
	for _, violation := range historycheck.Check(s.history()) {
		s.t.Errorf("seed %d: %s", s.options.seed, violation)
	}
}

// starts returns how often the stand-ins began a request.
func (s *site) starts(id string) int {
	n := 0
	for _, entry := range s.history().Runs {
		if entry.Event == history.EventStart && entry.RequestID == id {
			n++
		}
	}
	return n
}

// logTail is how much of each process's log a failed test shows, in bytes.
const logTail = 3000

func (s *site) showLogs() {
	if !s.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(s.dir, "n*.log"))
	for _, path := range logs {
		data, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		s.t.Logf("%s:\n%s", filepath.Base(path), data[max(0, len(data)-logTail):])
	}
}
