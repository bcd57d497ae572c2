package server

import (
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/poison"
)

const (
	// crashConfirmTimeout is how long a lost response can still be counted as a crash. A dead
	// upstream's entry lapses after three missed heartbeats, which this node notices only once it
	// reaches the store again.
	crashConfirmTimeout = 30 * time.Second
	// maxLostResponses bounds the lost responses that wait for a crash to be confirmed.
	maxLostResponses = 4096
	// sharedRepeated and sharedOthers bound the entries in a message to other nodes: contents that
	// crashed more than one upstream, and the others. An entry takes 85 bytes.
	sharedRepeated = 8
	sharedOthers   = 8
	// sharedMaxAge is how long after its crash a content of the second group is sent to other
	// nodes: each node receives it many times in that period, and the checkpoint keeps it
	// afterwards.
	sharedMaxAge = time.Minute
	// checkpointRepeated and checkpointOthers are the same bounds for a checkpoint; 128 entries
	// take 14 KB.
	checkpointRepeated = 64
	checkpointOthers   = 64
)

// contentGuard keeps request contents that crash upstreams from being sent again, based on what
// this node and other nodes observed. A lost response alone is not a crash. It counts as one once
// its upstream turns out to be dead, and is dropped if the upstream stayed alive or was leaving.
// It is safe for concurrent use.
type contentGuard struct {
	now      func() time.Time
	registry *poison.Registry
	suspects *poison.Suspects
	logger   *slog.Logger
	// startLivenessCheck starts a check of an upstream that lost a response, without waiting for
	// its result. Nil disables the check.
	startLivenessCheck func(site.Upstream)

	mu     sync.Mutex
	random *rand.Rand
	// lostResponses holds the lost responses whose upstream may have crashed, oldest first.
	lostResponses []lostResponse
	// loggedParts holds the prompt parts that were logged as guilty.
	loggedParts map[poison.Fingerprint]int
	// draining holds the upstreams that were about to leave when the catalog was last read.
	draining map[string]bool
}

func newContentGuard(now func() time.Time, random *rand.Rand, logger *slog.Logger) *contentGuard {
	return &contentGuard{now: now, registry: poison.NewRegistry(), suspects: poison.NewSuspects(), logger: logger, random: random}
}

// Quarantined reports whether the content must not be sent again.
func (g *contentGuard) Quarantined(content poison.Content) bool {
	return g.registry.Check(content.Whole) != nil
}

// ResponseLost records that the content was sent to an upstream and no complete
// response was received.
func (g *contentGuard) ResponseLost(content poison.Content, upstream site.Upstream) {
	if g.addLostResponse(lostResponse{at: g.now(), content: content, upstream: upstream.ID, startedAt: upstream.StartedAt}) && g.startLivenessCheck != nil {
		g.startLivenessCheck(upstream)
	}
}

// addLostResponse adds a lost response that may turn out to be a crash. It returns false if the
// upstream is about to leave.
func (g *contentGuard) addLostResponse(l lostResponse) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining[l.upstream] {
		return false
	}
	g.lostResponses = append(g.lostResponses, l)
	if len(g.lostResponses) > maxLostResponses {
		g.lostResponses = slices.Delete(g.lostResponses, 0, len(g.lostResponses)-maxLostResponses)
	}
	return true
}

// Alive drops the responses that an upstream lost while a connection to it was open: after the
// connection was made and before it carried a request that the upstream answered. The process of
// the upstream survived them.
func (g *contentGuard) Alive(upstream site.Upstream, connected, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lostResponses = slices.DeleteFunc(g.lostResponses, func(l lostResponse) bool {
		return l.upstream == upstream.ID && l.at.After(connected) && l.at.Before(sent)
	})
}

// Unreachable counts the responses that an upstream lost as crashes.
func (g *contentGuard) Unreachable(upstream site.Upstream) { g.countCrash(upstream.ID, "unreachable") }

// observeUpstreams compares the lost responses with the current upstreams: an upstream that is
// gone or has restarted had crashed, unless it was leaving.
func (g *contentGuard) observeUpstreams(all map[string]site.Upstream) {
	for _, id := range g.findDead(all) {
		g.countCrash(id, "entry_gone_or_renewed")
	}
}

// findDead drops the lost responses that are too old or belong to leaving upstreams, and returns
// the upstreams of the others that are gone or have restarted.
func (g *contentGuard) findDead(all map[string]site.Upstream) (dead []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = make(map[string]bool)
	for id, u := range all {
		if u.Draining {
			g.draining[id] = true
		}
	}
	now := g.now()
	g.lostResponses = slices.DeleteFunc(g.lostResponses, func(l lostResponse) bool {
		if g.draining[l.upstream] {
			return true
		}
		if now.Sub(l.at) > crashConfirmTimeout {
			g.logger.Info("crash not confirmed", "content", l.content.String(), "upstream", l.upstream, "waited", now.Sub(l.at))
			return true
		}
		if u, there := all[l.upstream]; !there || l.isOfEarlierStart(u) {
			dead = append(dead, l.upstream)
		}
		return false
	})
	return dead
}

// countCrash counts a crash for each content whose response the upstream lost; evidence says how
// its death was detected.
func (g *contentGuard) countCrash(upstream, evidence string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.lostResponses = slices.DeleteFunc(g.lostResponses, func(l lostResponse) bool {
		if l.upstream != upstream {
			return false
		}
		count := g.registry.RecordCrash(l.at, l.content.Whole, l.incarnation(), false)
		g.suspects.RecordCrash(l.at, l.incarnation(), l.content.Parts)
		g.logger.Info("crash counted", "content", l.content.String(), "crashes", count, "upstream", l.incarnation(),
			"evidence", evidence, "noticed_after", now.Sub(l.at))
		return true
	})
}

// Succeeded records that a request with the content completed.
func (g *contentGuard) Succeeded(content poison.Content, sentAt time.Time) {
	g.suspects.RecordSuccess(sentAt, content.Parts)
	before := g.registry.Crashes(content.Whole)
	if left := g.registry.RecordSuccess(g.now(), content.Whole); left < before {
		g.logger.Info("crash outweighed by successes", "content", content.String(), "crashes", left)
	}
}

// releaseExpired allows contents to run again whose quarantine has ended.
func (g *contentGuard) releaseExpired() {
	for _, content := range g.registry.EndQuarantines(g.now()) {
		g.logger.Info("content may run again", "content", content.String())
	}
	g.suspects.Release(g.now())
	g.logGuiltyParts()
}

// countQuarantined returns the number of quarantined contents.
func (g *contentGuard) countQuarantined() int64 { return g.countEntries((*poison.Entry).Quarantined) }

// countSuspected returns the number of contents that crashed upstreams and are not cleared.
func (g *contentGuard) countSuspected() int64 {
	return g.countEntries(func(e *poison.Entry) bool { return e.Count() > 0 })
}

// countEntries returns the number of entries that match.
func (g *contentGuard) countEntries(match func(*poison.Entry) bool) int64 {
	n := int64(0)
	for _, e := range g.registry.Snapshot() {
		if match(&e) {
			n++
		}
	}
	return n
}

// entriesToShare returns entries for other nodes: contents that crashed several upstreams, and a
// random choice of the others, so that each is sent in time however many there are.
func (g *contentGuard) entriesToShare() []poison.Entry {
	return g.sample(sharedRepeated, sharedOthers, g.now().Add(-sharedMaxAge))
}

// entriesToCheckpoint returns entries for the checkpoint, for processes that start after all
// others have ended.
func (g *contentGuard) entriesToCheckpoint() []poison.Entry {
	return g.sample(checkpointRepeated, checkpointOthers, time.Time{})
}

// sample returns up to repeated entries with several crashes and up to single others that are not
// older than since.
func (g *contentGuard) sample(repeated, single int, since time.Time) []poison.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Sample(repeated, single, since, g.random)
}

// merge adds the entries of another node or of a checkpoint.
func (g *contentGuard) merge(entries []poison.Entry) {
	if len(entries) > 0 {
		g.registry.Merge(entries)
	}
}
