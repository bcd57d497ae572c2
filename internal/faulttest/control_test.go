package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/internal/standin/engine"
	"mangoledge.example/mangoledge/internal/standin/history"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	const notice = 20 * time.Second
	s := startSite(t, siteOptions{nodes: 3, services: 1, engines: 3, seed: 12})
	leaving := s.engines[0]
	stop := make(chan struct{})
	var calls sync.WaitGroup
	for i, c := range s.newCallers(callerCount) {
		calls.Go(func() { s.sendUntil(stop, c, i) })
	}
	s.eventually("the engine has work", func() bool { return !s.lastWorkSentTo(leaving).IsZero() })
	s.beginFault(leaving.processFault(historycheck.FaultReclaim))
	noticed := time.Now()
	s.callPlatform(http.MethodPost, "/control/reclaim", reclaimOrder{Host: string(leaving.host), NoticeMs: notice.Milliseconds()}, nil)
	s.injectStandinFaults(leaving, engine.Faults{Leave: true})
	time.Sleep(historycheck.LeavingGracePeriod + 4*time.Second)
	close(stop)
	calls.Wait()
	t.Logf("the last new work was sent %s after the notice", s.lastWorkSentTo(leaving).Sub(noticed).Round(time.Millisecond))
	s.checkHistory()
}

// lastWorkSentTo returns when an upstream was last sent new work that it accepted or refused.
func (s *site) lastWorkSentTo(u *upstream) time.Time {
	var last time.Time
	for _, run := range s.history().StandinEntries {
		sent := run.Event == history.EventStart || run.Event == history.EventRefused
		if sent && run.Standin == u.name && run.At.After(last) {
			last = run.At
		}
	}
	return last
}

// recordVersions asks every node for the configuration version in force and adds it to h.
// The time recorded is that of the question, because the answer may be late.
func (s *site) recordVersions(h *historycheck.History) {
	for _, n := range s.nodes {
		var out struct {
			Self struct{ Incarnation ident.Incarnation }
			Site *config.Site
		}
		asked := time.Now()
		if !s.readDump(n, &out) || out.Site == nil {
			continue
		}
		h.ObservedVersions = append(h.ObservedVersions, historycheck.ObservedVersion{Incarnation: out.Self.Incarnation, Version: out.Site.Version, At: asked})
	}
}

// storedDocument returns the configuration in the store.
func (s *site) storedDocument(ctx context.Context, store *objects.Client) (objects.Object, config.Document) {
	object, err := store.Get(ctx, config.SiteKind, config.SiteName)
	require.NoError(s.t, err)
	var document config.Document
	require.NoError(s.t, json.Unmarshal(object.Spec, &document))
	return object, document
}

// editConfig changes the configuration directly in the store, as an operator's program does,
// and returns the change and the version once the store has accepted it.
func (s *site) editConfig(store *objects.Client, edit func(*config.Site)) (ident.Change, uint64) {
	ctx, cancel := context.WithTimeout(s.t.Context(), readyTimeout)
	defer cancel()
	object, document := s.storedDocument(ctx, store)
	edit(&document.Site)
	change := ident.Change(fmt.Sprint("change-", len(document.Recent)))
	document.Recent = append(document.Recent, config.ChangeRecord{Change: change, Base: uint64(object.Metadata.ResourceVersion)})
	spec, err := json.Marshal(document)
	require.NoError(s.t, err)
	object.Spec = spec
	stored, err := store.Update(ctx, object)
	require.NoError(s.t, err)
	return change, uint64(stored.Metadata.ResourceVersion)
}

// addKind adds a kind of requests to the configuration and records the change in h.
func (s *site) addKind(h *historycheck.History, store *objects.Client, name string) {
	change, version := s.editConfig(store, func(site *config.Site) {
		site.Kinds = append(site.Kinds, config.Kind{Name: ident.Kind(name), Worth: 1})
	})
	h.Changes = append(h.Changes, historycheck.Change{ID: change, Version: version, At: time.Now()})
}

// recordVersionsFor records the versions of all nodes repeatedly for d.
func (s *site) recordVersionsFor(h *historycheck.History, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		s.recordVersions(h)
	}
}

// changeDuringPause makes a change while a node is suspended for longer than a change may
// take, and records the versions of the nodes right before and after the node is resumed.
func (s *site) changeDuringPause(h *historycheck.History, store *objects.Client, n *node) {
	fault := s.beginFault(n.processFault(historycheck.FaultPause))
	require.NoError(s.t, n.process.suspend())
	s.addKind(h, store, "node-paused")
	time.Sleep(historycheck.MaxConfigDelay + time.Second/2)
	var asked sync.WaitGroup
	asked.Go(func() { s.recordVersions(h) })
	time.Sleep(time.Second / 2)
	n.process.signal(syscall.SIGCONT)
	s.endFault(fault)
	asked.Wait()
	s.recordVersionsFor(h, time.Second)
}

func TestConfigurationComesInForceEverywhereAndStays(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 6, services: 1, engines: 3, seed: 13})
	store := objects.NewClient(objects.Options{BaseURL: s.platform})
	defer store.Close()
	h := &historycheck.History{}
	for i := range 3 {
		s.addKind(h, store, fmt.Sprint("plain-", i))
		s.recordVersionsFor(h, time.Second)
	}
	s.injectStoreFault(platform.Fault{Kind: platform.FaultSilentWatch, Verb: "watch", DurationMs: 100})
	s.addKind(h, store, "watches-silent")
	s.recordVersionsFor(h, historycheck.MaxConfigDelay+2*time.Second)

	s.changeDuringPause(h, store, s.nodes[1])

	s.injectStoreFault(platform.Fault{Kind: platform.FaultOutage})
	restarted := s.nodes[2]
	s.killNode(restarted)
	s.startNode(restarted)
	s.recordVersionsFor(h, 6*time.Second)
	newIncarnation := s.incarnation(restarted)
	s.eventually("a node that starts during an outage gets its configuration from its peers", func() bool {
		s.recordVersions(h)
		return slices.ContainsFunc(h.ObservedVersions, func(seen historycheck.ObservedVersion) bool { return seen.Incarnation == newIncarnation })
	})
	require.Len(t, h.Changes, 5)
	h.Faults = s.history().Faults
	for _, violation := range historycheck.CheckConfig(h) {
		t.Error(violation)
	}
}
