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
	"mangoledge.example/mangoledge/platform"
)

const (
	snapshotPath = "/v1/snapshot"
	configPath   = "/v1/config"
	statePath    = "/v1/state"
	// relayInterval is how often a node looks whether others know more, beside when they say so.
	relayInterval = 250 * time.Millisecond
	// relayAfter is the age of the store's last word from which a node is not followed any more.
	relayAfter = 1700 * time.Millisecond
	// watcherSilence is after how long without a message a node is not followed any
	// more: it tells of itself each watcherInterval, and two messages may be lost.
	watcherSilence = 1100 * time.Millisecond
	// relayTimeout bounds one call of another node.
	relayTimeout = 700 * time.Millisecond
	// seedPause is the pause between two questions to a seed.
	seedPause = 500 * time.Millisecond
	// maxSnapshotBytes bounds the answer.
	maxSnapshotBytes = 16 << 20
)

// snapshot is what a node tells another that follows it.
type snapshot struct {
	// StoreAgeMs is how long ago the node heard the store, in milliseconds.
	StoreAgeMs int64                   `json:"storeAgeMs"`
	Upstreams  catalog.Update          `json:"upstreams"`
	Nodes      map[string]peers.Record `json:"nodes,omitempty"`
}

func (g *Gateway) serveSnapshot(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	since, _ := strconv.ParseUint(q.Get("upstreams"), 10, 64) // 0 asks for all
	out := snapshot{StoreAgeMs: g.upstreams.Age().Milliseconds(), Upstreams: g.upstreams.UpdateSince(since)}
	if q.Has("nodes") {
		out.Nodes = g.nodes.Known()
	}
	if !out.Upstreams.Whole {
		g.writeJSON(w, out)
		return
	}
	g.writeCompressed(w, out)
}

// writeCompressed answers another node with what may be as large as the site.
func (g *Gateway) writeCompressed(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	writer := gzip.NewWriter(w)
	err := json.NewEncoder(writer).Encode(value)
	if err = errors.CombineErrors(err, writer.Close()); err != nil {
		g.logger.Debug("answer not written", "error", err)
	}
}

// serveConfig hands on the configuration in force. It may hold thousands of routes and
// goes to all nodes at once, some behind links of 10 Mbit/s: so it is compressed, once.
func (g *Gateway) serveConfig(w http.ResponseWriter, _ *http.Request) {
	data, err := g.configuration.Compressed()
	switch {
	case err != nil:
		g.logger.Error("configuration not handed on", "error", err)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case data == nil:
		w.WriteHeader(http.StatusNotFound)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	_, _ = w.Write(data) // a node that is gone asks again
}

// follower is what this node knows of the node that it follows. It is safe for concurrent use.
type follower struct {
	mu sync.Mutex
	// source is the process that is followed, and sequence the last change taken from it.
	source   string
	sequence uint64
	// news wakes the relay.
	news chan struct{}
}

func newFollower() *follower { return &follower{news: make(chan struct{}, 1)} }

// heard wakes the relay for the message of a node that follows the store.
func (f *follower) heard(m *peers.Message) {
	if !m.Watching {
		return
	}
	select {
	case f.news <- struct{}{}:
	default:
	}
}

// since returns the last change taken from a process.
func (f *follower) since(process string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.source != process {
		return 0
	}
	return f.sequence
}

func (f *follower) took(process string, sequence uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.source, f.sequence = process, sequence
}

// relay takes over from other nodes what the store does not tell this one itself.
func (g *Gateway) relay(ctx context.Context) {
	ticker := time.NewTicker(relayInterval)
	defer ticker.Stop()
	var seeded time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-g.follower.news:
		}
		if source := g.relaySource(); source != nil {
			g.relayFrom(ctx, source)
			continue
		}
		if g.configuration.Version() == 0 && time.Since(seeded) > seedPause {
			seeded = time.Now()
			g.askSeed(ctx)
		}
	}
}

// relaySource returns the node to take over from, or nil when there is no need: this
// node hears the store, or no other hears it better.
func (g *Gateway) relaySource() *peers.Peer {
	var best *peers.Peer
	for _, p := range g.table.Alive() {
		if p.Control == "" || !p.Watching {
			continue
		}
		if best == nil || g.better(p, best) {
			best = p
		}
	}
	if best == nil || (g.watching.Load() && g.upstreams.Age() < relayAfter) {
		return nil
	}
	return best
}

// better prefers a node that hears the store, then the one that is followed, then
// one in the same failure domain.
func (g *Gateway) better(a, b *peers.Peer) bool {
	rank := func(p *peers.Peer) int {
		n := 0
		if g.hearsStore(p) {
			n += 4
		}
		if g.follower.since(p.Incarnation) > 0 {
			n += 2
		}
		if p.Domain == g.settings.FailureDomain {
			n++
		}
		return n
	}
	return rank(a) > rank(b)
}

// relayFrom takes over what changed at a node, and how old its word of the store is.
func (g *Gateway) relayFrom(ctx context.Context, p *peers.Peer) {
	since := g.follower.since(p.Incarnation)
	if since > 0 && p.Changes <= since && p.ConfigVersion <= g.configuration.Version() {
		g.confirmElsewhere(time.Duration(p.StoreAgeMs)*time.Millisecond + g.table.Since(p))
		return
	}
	if p.ConfigVersion > g.configuration.Version() {
		g.takeConfig(ctx, p.Control, p.Node)
	}
	q := url.Values{"upstreams": []string{strconv.FormatUint(since, 10)}}
	s, err := g.fetchSnapshot(ctx, p.Control, q)
	if err != nil {
		g.logger.Warn("no answer of the node that is followed", "followed", p.Node, "error", err)
		return
	}
	g.takeSnapshot(s)
	g.follower.took(p.Incarnation, s.Upstreams.Sequence)
}

// askSeed asks a node that the settings name, while no other is known.
func (g *Gateway) askSeed(ctx context.Context) {
	seeds := *g.seeds.Load()
	if len(seeds) == 0 {
		return
	}
	address := seeds[int(time.Now().UnixMilli()/seedPause.Milliseconds())%len(seeds)]
	if address == g.settings.Listen.Control {
		return
	}
	s, err := g.fetchSnapshot(ctx, address, url.Values{"nodes": []string{"1"}})
	if err != nil {
		g.logger.Warn("no answer of a seed", "address", address, "error", err)
		return
	}
	g.nodes.Learn(s.Nodes)
	g.takeConfig(ctx, address, address)
	g.takeSnapshot(s)
}

// takeConfig takes the configuration over from another node, or from the store when
// that node does not give it.
func (g *Gateway) takeConfig(ctx context.Context, address, origin string) {
	spec, err := g.fetchConfig(ctx, address)
	if err == nil {
		g.configuration.Offer(spec, origin)
		return
	}
	g.logger.Warn("no configuration from a node", "origin", origin, "error", err)
	object, err := g.store.Get(ctx, platform.KindConfig, platform.ConfigName)
	if err != nil {
		g.logger.Warn("no configuration from the store", "error", err)
		return
	}
	g.configuration.Offer(object.Spec, "store")
}

func (g *Gateway) fetchConfig(ctx context.Context, address string) (json.RawMessage, error) {
	var spec json.RawMessage
	err := g.ask(ctx, address, configPath, func(body io.Reader) (err error) {
		spec, err = bounded.ReadAll(body, maxSnapshotBytes)
		return err
	})
	return spec, err
}

func (g *Gateway) fetchSnapshot(ctx context.Context, address string, q url.Values) (*snapshot, error) {
	var s snapshot
	err := g.ask(ctx, address, snapshotPath+"?"+q.Encode(), func(body io.Reader) error {
		return errors.Wrap(json.NewDecoder(io.LimitReader(body, maxSnapshotBytes)).Decode(&s), "snapshot")
	})
	return &s, err
}

// ask calls another node and has the body of its answer read.
func (g *Gateway) ask(ctx context.Context, address, target string, read func(io.Reader) error) error {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
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
	if err := readEncoded(response, read); err != nil {
		response.Abort()
		return err
	}
	response.Discard()
	return nil
}

// readEncoded has the body read as it was before it was compressed.
func readEncoded(response *httpconn.Response, read func(io.Reader) error) error {
	if response.Header.Get("Content-Encoding") != "gzip" {
		return read(response.Body)
	}
	reader, err := gzip.NewReader(response.Body)
	if err != nil {
		return err
	}
	return read(reader)
}

func (g *Gateway) takeSnapshot(s *snapshot) {
	before := g.upstreams.View()
	g.upstreams.Apply(&s.Upstreams)
	g.notices.compare(before, g.upstreams.View())
	g.confirmElsewhere(time.Duration(s.StoreAgeMs) * time.Millisecond)
}

// confirmElsewhere notes that what is known here was current some time ago.
func (g *Gateway) confirmElsewhere(age time.Duration) {
	g.upstreams.ContactElsewhere(age)
	if age < g.configuration.Age(time.Now()) {
		g.configuration.Confirm(time.Now().Add(-age))
	}
}

// hearsStore reports whether another node follows the store, hears it and is heard itself.
func (g *Gateway) hearsStore(p *peers.Peer) bool {
	return p.Watching && p.StoreAgeMs < relayAfter.Milliseconds() && g.table.Since(p) < watcherSilence
}

// storeReachableElsewhere reports whether another node heard the store just now.
func (g *Gateway) storeReachableElsewhere() bool {
	return slices.ContainsFunc(g.table.Alive(), g.hearsStore)
}
