package figures

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/testbed"
)

const (
	model     ident.Model     = "m"
	workspace ident.Workspace = "w"
	// engineSlots is large enough that no stream waits for a slot.
	engineSlots = 1000
	// tokenInterval is the time between two tokens of the stand-in engines.
	tokenInterval = 20 * time.Millisecond
	// readyTimeout limits the time until the site answers requests.
	readyTimeout = 20 * time.Second
	// maxAddressQueries limits how often the addresses are requested until they name the
	// wanted home and witness.
	maxAddressQueries = 500
)

// site is the measured node, a node that is its witness, and two engines. prefix is the
// prefix of request IDs that selects these two nodes.
type site struct {
	bed     *testbed.Bed
	node    *testbed.Node
	witness *testbed.Node
	engines []*testbed.UpstreamProcess
	prefix  string
}

// newSite starts a site with the programs in bin and keeps its files in dir.
func newSite(ctx context.Context, bin, dir string) (*site, error) {
	s := &site{bed: &testbed.Bed{Bin: bin, Dir: dir, Workspaces: []ident.Workspace{workspace}}}
	if err := s.start(ctx); err != nil {
		s.bed.Close()
		return nil, err
	}
	return s, nil
}

// start starts the platform, the engines and the nodes, and waits until the node answers.
func (s *site) start(ctx context.Context) error {
	domains := []ident.FailureDomain{"d1", "d2"}
	if _, err := s.bed.StartPlatform(); err != nil {
		return err
	}
	if err := s.bed.OfferHosts(domains...); err != nil {
		return err
	}
	for i, domain := range domains {
		e, err := s.bed.StartEngine(ident.Upstream(fmt.Sprintf("e%d", i+1)), model, domain, engineSlots, "--interval", tokenInterval.String())
		if err != nil {
			return err
		}
		s.engines = append(s.engines, e)
	}
	var err error
	if s.node, err = s.bed.StartNode("n1", "d1", nil); err != nil {
		return err
	}
	if s.witness, err = s.bed.StartNode("n2", "d2", nil); err != nil {
		return err
	}
	if err := s.bed.RegisterUpstreams(ctx); err != nil {
		return err
	}
	if err := s.declareSite(ctx); err != nil {
		return err
	}
	return s.findPrefix(ctx)
}

// declareSite writes the site's configuration to the object store.
func (s *site) declareSite(ctx context.Context) error {
	client := objects.NewClient(objects.Options{BaseURL: s.bed.PlatformURL()})
	defer client.Close()
	object, err := config.NewSiteObject(&config.Site{
		Models:     []config.Model{{Name: model, Version: "v1", Replicas: len(s.engines)}},
		Workspaces: []config.Workspace{{Name: workspace, Share: 1}},
	})
	if err != nil {
		return err
	}
	_, err = client.Create(ctx, object)
	return err
}

// findPrefix requests addresses until their prefix names the measured node as home and the
// other one as witness, and a request of one token is answered.
func (s *site) findPrefix(ctx context.Context) error {
	client := s.bed.Client(workspace, s.node)
	defer client.Close()
	deadline := time.Now().Add(readyTimeout)
	for range maxAddressQueries {
		if time.Now().After(deadline) {
			break
		}
		fresh := s.bed.Client(workspace, s.node)
		book, err := fresh.Addresses(ctx)
		fresh.Close()
		if err != nil || !s.hasWantedPrefix(book) {
			time.Sleep(tokenInterval)
			continue
		}
		s.prefix = book.RequestIdPrefix
		if _, err := s.streamThroughNode(ctx, 1); err == nil {
			return nil
		}
	}
	return errors.New("the site was not ready in time")
}

// hasWantedPrefix reports whether the prefix names the measured node as home and the other
// one as witness.
func (s *site) hasWantedPrefix(book *callerapi.AddressBook) bool {
	home, rest, _ := strings.Cut(book.RequestIdPrefix, ".")
	return strings.HasPrefix(home, "n1_") && strings.HasPrefix(rest, "n2_")
}
