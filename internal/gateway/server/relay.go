package server

import (
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/bounded"
	"mangoledge.example/mangoledge/internal/gateway/catalog"
	"mangoledge.example/mangoledge/internal/gateway/httpconn"
	"mangoledge.example/mangoledge/internal/gateway/peers"
	"mangoledge.example/mangoledge/internal/platform/objects"
	"mangoledge.example/mangoledge/platform"
)

const (
	snapshotPath = "/v1/snapshot"
	configPath   = "/v1/config"
	statePath    = "/v1/state"
	// relayInterval is how often a node checks whether other nodes have newer state, in addition
	// to the checks that their messages trigger.
	relayInterval = 250 * time.Millisecond
	// storeStaleAfter is the age of a node's last contact with the store from which other nodes no
	// longer take updates from it.
	storeStaleAfter = 1700 * time.Millisecond
	// watcherTimeout is how long after its last message other nodes no longer take updates from a
	// node: it sends one each watcherMessageInterval, and two may be lost.
	watcherTimeout = 1100 * time.Millisecond
	// peerCallTimeout bounds one HTTP call to another node.
	peerCallTimeout = 700 * time.Millisecond
	// seedInterval is the pause between two requests to seed nodes.
	seedInterval = 500 * time.Millisecond
	// maxSnapshotBytes bounds a snapshot or configuration from another node.
	maxSnapshotBytes = 16 << 20
)

// snapshot is what a node sends to another that takes updates from it.
type snapshot struct {
	// StoreAgeMs is the time since the node's last contact with the store, in milliseconds.
	StoreAgeMs int64          `json:"storeAgeMs"`
	Upstreams  catalog.Update `json:"upstreams"`
	// Rollouts holds all orders of versions; nil where none were read.
	Rollouts *objects.List           `json:"rollouts,omitempty"`
	Nodes    map[string]peers.Record `json:"nodes,omitempty"`
}

// serveSnapshot sends the changes of the upstreams since a sequence number, and all known nodes on
// request.
func (g *Gateway) serveSnapshot(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("upstreams"), 10, 64) // 0 requests all upstreams
	out := snapshot{StoreAgeMs: g.upstreams.Age().Milliseconds(), Upstreams: g.upstreams.UpdateSince(since), Rollouts: g.rolloutList()}
	if q.Has("nodes") {
		out.Nodes = g.nodeRegistry.Known()
	}
	if !out.Upstreams.Full {
		g.writeJSON(w, out)
		return
	}
	g.writeCompressed(w, out)
}

// writeCompressed writes a gzip-compressed JSON response whose size grows with the site.
func (g *Gateway) writeCompressed(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	writer := gzip.NewWriter(w)
	err := json.NewEncoder(writer).Encode(value)
	if err = errors.CombineErrors(err, writer.Close()); err != nil {
		g.logger.Debug("failed to write response", "error", err)
	}
}

// serveConfig sends the configuration in force to another node. It may hold thousands of routes
// and goes to all nodes at once, some behind 10 Mbit/s links, so it is compressed, and only once
// for all of them.
func (g *Gateway) serveConfig(w http.ResponseWriter, _ *http.Request) {
	data, err := g.configuration.Compressed()
	switch {
	case err != nil:
		g.logger.Error("failed to serve configuration to another node", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case data == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // if the write fails, the node requests it again
}

// relayCursor tracks how far this node has applied the upstream changes of the node that it takes
// updates from. It is safe for concurrent use.
type relayCursor struct {
	mu sync.Mutex
	// source is the incarnation that updates come from, and sequence the last change applied from
	// it.
	source   string
	sequence uint64
	// wake triggers relayFromPeers.
	wake chan struct{}
}

// newRelayCursor returns a cursor without a source.
func newRelayCursor() *relayCursor { return &relayCursor{wake: make(chan struct{}, 1)} }

// notify triggers relayFromPeers if the message comes from a node that watches the store and has
// something newer than this node, whose configuration has the given version. Other messages only
// say that nothing changed, which relayFromPeers finds out by itself.
func (c *relayCursor) notify(m *peers.Message, configVersion int64) {
	if !m.WatchesStore || !c.isNews(m, configVersion) {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// isNews reports whether a message of a node that watches the store announces a newer configuration,
// or a change at the current source. Any is news without a source.
func (c *relayCursor) isNews(m *peers.Message, configVersion int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source == "" || m.ConfigVersion > configVersion || (m.Incarnation == c.source && m.UpstreamChanges > c.sequence)
}

// lastSequence returns the last change applied from a process, or 0 if updates come from another
// one.
func (c *relayCursor) lastSequence(process string) uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.source != process {
		return 0
	}
	return c.sequence
}

// advance records the last change applied from a process.
func (c *relayCursor) advance(process string, sequence uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.source, c.sequence = process, sequence
}

// relayFromPeers takes updates from other nodes while this node does not get them from the store.
// It runs until ctx ends.
func (g *Gateway) relayFromPeers(ctx context.Context) {
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	var seedAskedAt time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.relayCursor.wake:
		}
		if source := g.relaySource(); source != nil {
			g.relayFrom(ctx, source)
			continue
		}
		if g.configuration.Version() == 0 && time.Since(seedAskedAt) > seedInterval {
			seedAskedAt = time.Now()
			g.fetchFromSeed(ctx)
		}
	}
}

// relaySource returns the node to take updates from, or nil if there is none or this node's own
// contact with the store is recent.
func (g *Gateway) relaySource() *peers.Peer {
	var best *peers.Peer
	for _, p := range g.peerTable.Alive() {
		if p.ControlAddress == "" || !p.WatchesStore {
			continue
		}
		if best == nil || g.isBetterSource(p, best) {
			best = p
		}
	}
	if best == nil || (g.watchingStore.Load() && g.upstreams.Age() < storeStaleAfter) {
		return nil
	}
	return best
}

// isBetterSource prefers nodes with recent store contact, then the current source, then nodes in
// the same failure domain.
func (g *Gateway) isBetterSource(a, b *peers.Peer) bool {
	rank := func(p *peers.Peer) int {
		n := 0
		if g.isFreshWatcher(p) {
			n += 4
		}
		if g.relayCursor.lastSequence(p.Incarnation) > 0 {
			n += 2
		}
		if p.FailureDomain == g.settings.FailureDomain {
			n++
		}
		return n
	}
	return rank(a) > rank(b)
}

// relayFrom applies the changes of another node. If there are none, it records how recent that
// node's state is.
func (g *Gateway) relayFrom(ctx context.Context, p *peers.Peer) {
	since := g.relayCursor.lastSequence(p.Incarnation)
	if since > 0 && p.UpstreamChanges <= since && p.ConfigVersion <= g.configuration.Version() {
		g.confirmFromPeer(time.Duration(p.StoreAgeMs)*time.Millisecond + g.peerTable.TimeSinceHeard(p))
		return
	}
	if p.ConfigVersion > g.configuration.Version() {
		g.adoptConfig(ctx, p.ControlAddress, p.Node)
	}
	q := url.Values{"upstreams": []string{strconv.FormatUint(since, 10)}}
	s, err := g.fetchSnapshot(ctx, p.ControlAddress, q)
	if err != nil {
		g.logger.Warn("failed to fetch snapshot from followed node", "followed", p.Node, "error", err)
		return
	}
	if g.applySnapshot(s) {
		g.relayCursor.advance(p.Incarnation, s.Upstreams.Sequence)
	}
}

// fetchFromSeed takes nodes, configuration and upstreams from one of the seeds in the settings. It
// is used before any configuration is known; the seeds take turns by wall-clock time.
func (g *Gateway) fetchFromSeed(ctx context.Context) {
	seeds := *g.seeds.Load()
	if len(seeds) == 0 {
		return
	}
	address := seeds[int(time.Now().UnixMilli()/seedInterval.Milliseconds())%len(seeds)]
	if address == g.settings.Listen.Control {
		return
	}
	s, err := g.fetchSnapshot(ctx, address, url.Values{"nodes": []string{"1"}})
	if err != nil {
		g.logger.Warn("failed to fetch snapshot from seed", "address", address, "error", err)
		return
	}
	g.nodeRegistry.AddUnknown(s.Nodes)
	g.adoptConfig(ctx, address, address)
	g.applySnapshot(s)
}

// adoptConfig takes the configuration from another node, or from the store if that fails.
func (g *Gateway) adoptConfig(ctx context.Context, address, origin string) {
	spec, err := g.fetchConfig(ctx, address)
	if err == nil {
		g.configuration.ApplyIfNewer(spec, origin)
		return
	}
	g.logger.Warn("failed to fetch configuration from node", "origin", origin, "error", err)
	object, err := g.store.Get(ctx, platform.KindConfig, platform.ConfigName)
	if err != nil {
		g.logger.Warn("failed to fetch configuration from store", "error", err)
		return
	}
	g.configuration.ApplyIfNewer(object.Spec, "store")
}

// fetchConfig requests the configuration from another node.
func (g *Gateway) fetchConfig(ctx context.Context, address string) (json.RawMessage, error) {
	var spec json.RawMessage
	err := g.getFromPeer(ctx, address, configPath, func(body io.Reader) (err error) {
		spec, err = bounded.ReadAll(body, maxSnapshotBytes)
		return err
	})
	return spec, err
}

// fetchSnapshot requests a snapshot from another node.
func (g *Gateway) fetchSnapshot(ctx context.Context, address string, q url.Values) (*snapshot, error) {
	var s snapshot
	err := g.getFromPeer(ctx, address, snapshotPath+"?"+q.Encode(), func(body io.Reader) error {
		return errors.Wrap(json.NewDecoder(io.LimitReader(body, maxSnapshotBytes)).Decode(&s), "snapshot")
	})
	return &s, err
}

// getFromPeer sends a GET request to another node and passes the decompressed response body to
// read.
func (g *Gateway) getFromPeer(ctx context.Context, address, target string, read func(io.Reader) error) error {
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	response, err := g.pool.Do(ctx, address, &httpconn.Request{
		Method: http.MethodGet, Target: target, Host: address, Header: http.Header{}, MaxIdle: time.Second,
	})
	if err != nil {
		return err
	}
	if response.Status != http.StatusOK {
		response.Abort()
		return errors.Newf("status %d", response.Status)
	}
	if err := readDecompressed(response, read); err != nil {
		response.Abort()
		return err
	}
	response.Discard()
	return nil
}

// readDecompressed passes the body of a response to read, decompressed if it is gzip-encoded.
func readDecompressed(response *httpconn.Response, read func(io.Reader) error) error {
	if response.Header.Get("Content-Encoding") != "gzip" {
		return read(response.Body)
	}
	reader, err := gzip.NewReader(response.Body)
	if err != nil {
		return err
	}
	return read(reader)
}

// applySnapshot applies the upstream changes of another node's snapshot. It returns false if they have
// to be fetched again.
func (g *Gateway) applySnapshot(s *snapshot) (applied bool) {
	g.applyRolloutList(s.Rollouts)
	before := g.upstreams.View()
	applied = g.upstreams.Apply(&s.Upstreams)
	g.reclaimNotices.record(before, g.upstreams.View())
	g.confirmFromPeer(time.Duration(s.StoreAgeMs) * time.Millisecond)
	return applied
}

// confirmFromPeer records that the state known here was current age ago.
func (g *Gateway) confirmFromPeer(age time.Duration) {
	g.upstreams.RecordPeerContact(age)
	if age < g.configuration.Age(time.Now()) {
		g.configuration.ConfirmCurrent(time.Now().Add(-age))
	}
}

// isFreshWatcher reports whether another node watches the store, has had recent contact with it,
// and has itself been heard from recently.
func (g *Gateway) isFreshWatcher(p *peers.Peer) bool {
	return p.WatchesStore && p.StoreAgeMs < storeStaleAfter.Milliseconds() && g.peerTable.TimeSinceHeard(p) < watcherTimeout
}

// storeReachableElsewhere reports whether another node has had recent contact with the store.
func (g *Gateway) storeReachableElsewhere() bool {
	return slices.ContainsFunc(g.peerTable.Alive(), g.isFreshWatcher)
}
