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
		calls.Go(func() { s.callUntil(stop, c, i) })
	}
	s.eventually("the engine has work", func() bool { return !s.lastSentTo(leaving).IsZero() })
	s.fault(leaving.faultOf(historycheck.FaultReclaim))
	noticed := time.Now()
	s.put(http.MethodPost, "/control/reclaim", reclaimOrder{Host: string(leaving.host), NoticeMs: notice.Milliseconds()}, nil)
	s.order(leaving, engine.Faults{Leave: true})
	time.Sleep(historycheck.LeavingGracePeriod + 4*time.Second)
	close(stop)
	calls.Wait()
	t.Logf("the last new work came %s after the notice", s.lastSentTo(leaving).Sub(noticed).Round(time.Millisecond))
	s.check()
}

// lastSentTo returns when an upstream was last sent new work, taken or turned away.
func (s *site) lastSentTo(u *upstream) time.Time {
	var last time.Time
	for _, run := range s.history().StandinEntries {
		sent := run.Event == history.EventStart || run.Event == history.EventRefused
		if sent && run.Standin == u.name && run.At.After(last) {
			last = run.At
		}
	}
	return last
}

// seen asks every node which version is in force, and notes it. The answer may be
// late, so that it stands for the time of the question.
func (s *site) seen(h *historycheck.History) {
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

// storedDocument returns the configuration as the store has it.
func (s *site) storedDocument(ctx context.Context, store *objects.Client) (objects.Object, config.Document) {
	object, err := store.Get(ctx, config.SiteKind, config.SiteName)
	require.NoError(s.t, err)
	var document config.Document
	require.NoError(s.t, json.Unmarshal(object.Spec, &document))
	return object, document
}

// edit changes the configuration as an operator's program does, and returns the
// change and the version once the store has accepted it.
func (s *site) edit(store *objects.Client, edit func(*config.Site)) (ident.Change, uint64) {
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

// change adds a kind of requests and notes the change.
func (s *site) change(h *historycheck.History, store *objects.Client, name string) {
	change, version := s.edit(store, func(site *config.Site) {
		site.Kinds = append(site.Kinds, config.Kind{Name: ident.Kind(name), Worth: 1})
	})
	h.Changes = append(h.Changes, historycheck.Change{ID: change, Version: version, At: time.Now()})
}

// watchVersions asks all nodes for their versions during d.
func (s *site) watchVersions(h *historycheck.History, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		s.seen(h)
	}
}

// changeDuringAPause makes a change while a node stands still for longer than a
// change may take, and asks the nodes right before and after it goes on.
func (s *site) changeDuringAPause(h *historycheck.History, store *objects.Client, n *node) {
	at := s.fault(n.faultOf(historycheck.FaultPause))
	require.NoError(s.t, n.process.stop())
	s.change(h, store, "node-paused")
	time.Sleep(historycheck.MaxConfigDelay + time.Second/2)
	var asked sync.WaitGroup
	asked.Go(func() { s.seen(h) })
	time.Sleep(time.Second / 2)
	n.process.signal(syscall.SIGCONT)
	s.over(at)
	asked.Wait()
	s.watchVersions(h, time.Second)
}

func TestConfigurationComesInForceEverywhereAndStays(t *testing.T) {
	s := startSite(t, siteOptions{nodes: 6, services: 1, engines: 3, seed: 13})
	store := objects.NewClient(objects.Options{BaseURL: s.platform})
	defer store.Close()
	h := &historycheck.History{}
	for i := range 3 {
		s.change(h, store, fmt.Sprint("plain-", i))
		s.watchVersions(h, time.Second)
	}
	s.strike(platform.Fault{Kind: platform.FaultSilentWatch, Verb: "watch", DurationMs: 100})
	s.change(h, store, "watches-silent")
	s.watchVersions(h, historycheck.MaxConfigDelay+2*time.Second)

	s.changeDuringAPause(h, store, s.nodes[1])

	s.strike(platform.Fault{Kind: platform.FaultOutage})
	restarted := s.nodes[2]
	s.killNode(restarted)
	s.startNode(restarted)
	s.watchVersions(h, 6*time.Second)
	fresh := s.incarnation(restarted)
	s.eventually("a node that starts during an outage gets its configuration from its peers", func() bool {
		s.seen(h)
		return slices.ContainsFunc(h.ObservedVersions, func(seen historycheck.ObservedVersion) bool { return seen.Incarnation == fresh })
	})
	require.Len(t, h.Changes, 5)
	h.Faults = s.history().Faults
	for _, violation := range historycheck.CheckConfig(h) {
		t.Error(violation)
	}
}
