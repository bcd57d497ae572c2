package faulttest

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/auth"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/testpause"
)

// node is one entry host: a daemon process, its settings and its links.
type node struct {
	name         string
	settings     settings.Settings
	settingsFile string
	process      *process
	callerLink   *link
	peerLink     *link
	// number is its index among the nodes of the site.
	number int
	// faultMu is held while a scheduled fault of the process lasts.
	faultMu sync.Mutex
}

// newNode returns a node with its settings and links, whose process is not started yet.
func (s *site) newNode(i int) *node {
	name := fmt.Sprintf("n%d", i)
	callerAddress, peerAddress := s.freeAddress(), s.freeAddress()
	n := &node{
		name:         name,
		number:       i,
		settingsFile: filepath.Join(s.dir, name+".json"),
		callerLink:   newLink(s.t, name+" callers", callerAddress, false),
		peerLink:     newLink(s.t, name+" peers", peerAddress, true),
	}
	n.settings = settings.Settings{
		Node:           ident.Node(name),
		Region:         "default",
		FailureDomain:  ident.FailureDomain(domainName(i)),
		Host:           s.newHost(name, domainName(i)),
		CallerListen:   callerAddress,
		CallerURL:      "http://" + n.callerLink.address,
		OperatorListen: s.freeAddress(),
		PeerListen:     peerAddress,
		PeerAdvertise:  n.peerLink.address,
		PeerToken:      s.peerToken,
		Platform:       settings.Platform{ObjectsURL: s.platform, CloudURL: s.platform, HostListURL: s.platform, WeightsURL: s.platform},
		Tokens: []settings.Token{
			{Name: "caller", Role: settings.RoleCaller, Workspace: workspace, SHA256: auth.Digest(callerToken)},
			{Name: "operator", Role: settings.RoleOperator, SHA256: auth.Digest(operatorToken)},
		},
		Log:    settings.Log{Level: "debug", Format: "text"},
		Limits: settings.Limits{AddressKeepMs: 1000, DrainTimeoutMs: 15000, MemoryMB: s.options.memoryMB},
	}
	n.callerLink.fault.Address = n.settings.CallerURL
	n.peerLink.fault.Node = n.settings.Node
	for _, other := range s.nodes {
		n.settings.Seeds = append(n.settings.Seeds, other.peerLink.address)
	}
	return n
}

// startNode starts a process for n, which has a new incarnation.
func (s *site) startNode(n *node) {
	data, err := json.Marshal(n.settings)
	require.NoError(s.t, err)
	require.NoError(s.t, os.WriteFile(n.settingsFile, data, 0o600))
	n.process = startProcess(s.t, s.dir, n.name, buildDaemon(s.t), []string{testpause.DirVariable + "=" + s.dir}, "--settings", n.settingsFile)
}

// addresses returns the addresses of the site according to n, or nil if it does not answer.
func (s *site) addresses(n *node) []callerapi.Address {
	book := s.addressBook(n)
	if book == nil {
		return nil
	}
	return book.Addresses
}

// addressBook asks n for its address book and returns nil if it does not answer.
func (s *site) addressBook(n *node) *callerapi.AddressBook {
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+n.callerLink.address+"/v1/addresses", nil)
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+callerToken)
	resp, err := shortTimeoutClient.Do(req)
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

// newRequestID returns a new request ID with the given home and witness.
func (s *site) newRequestID(home, witness *node) string {
	return ident.NewRequestID(s.incarnation(home), s.incarnation(witness)).String()
}

// dump is the part of a node's dump that the tests read.
type dump struct {
	Self    struct{ Incarnation ident.Incarnation }
	Members []membership.Member
}

// waitMemberState waits until n reports that a member is in state.
func (s *site) waitMemberState(n *node, member ident.Incarnation, state membership.State) {
	s.eventually(n.name+" knows that "+string(member)+" is "+state.String(), func() bool {
		var out dump
		return s.readDump(n, &out) && slices.ContainsFunc(out.Members, func(m membership.Member) bool {
			return m.Incarnation == member && m.State == state
		})
	})
}

// incarnation asks a node for its incarnation, bypassing its links.
func (s *site) incarnation(n *node) ident.Incarnation {
	var out dump
	s.eventually("dump of "+n.name, func() bool {
		return s.readDump(n, &out) && out.Self.Incarnation != ""
	})
	return out.Self.Incarnation
}

// readDump reads the dump of a node into out, bypassing its links, and reports whether that
// succeeded.
func (s *site) readDump(n *node, out any) bool {
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodGet, "http://"+n.settings.OperatorListen+"/v1/dump", nil)
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := shortTimeoutClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(out) == nil
}
