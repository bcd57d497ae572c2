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
	// suspectTime is for how long a lost answer is open to be taken for a crash. Entries
	// lapse after three heartbeats, and are seen to only once the store is heard again.
	suspectTime = 30 * time.Second
	// maxLostAnswers bounds the lost answers that are open.
	maxLostAnswers = 4096
	// toldRepeated and toldOthers bound the contents that a message to other nodes tells of:
	// those that crashed more than one upstream, and the others. An entry takes 85 bytes.
	toldRepeated = 8
	toldOthers   = 8
	// toldTime is for how long after its crash a content of the others is told: each node
	// hears it many times meanwhile, and the checkpoint holds it after.
	toldTime = time.Minute
	// lastingRepeated and lastingOthers are the same for a checkpoint; 128 take 14 KB.
	lastingRepeated = 64
	lastingOthers   = 64
)

// contentGuard keeps contents that crash upstreams from being sent again, on this
// node and by what other nodes tell. A lost answer alone is no crash: it becomes one
// when its upstream turns out to be dead, and none when the upstream turns out to have
// lived on or was leaving. It is safe for concurrent use.
type contentGuard struct {
	now      func() time.Time
	registry *poison.Registry
	logger   *slog.Logger
	// check has an upstream that lost an answer looked at; it does not wait. Nil for nothing.
	check func(site.Upstream)

	mu     sync.Mutex
	random *rand.Rand
	// lost holds the answers that were lost and whose upstream may have crashed, the oldest first.
	lost []lostAnswer
	// draining holds the upstreams that are about to leave, as they were seen last.
	draining map[string]bool
}

func newContentGuard(now func() time.Time, random *rand.Rand, logger *slog.Logger) *contentGuard {
	return &contentGuard{now: now, registry: poison.NewRegistry(), logger: logger, random: random}
}

// Convicted reports whether the content must not be sent again.
func (g *contentGuard) Convicted(content poison.Fingerprint) bool {
	return g.registry.Check(content) != nil
}

// AnswerLost notes that the content was sent to an upstream and got no whole answer.
func (g *contentGuard) AnswerLost(content poison.Fingerprint, upstream site.Upstream) {
	if g.note(lostAnswer{at: g.now(), content: content, upstream: upstream.ID, born: upstream.Born}) && g.check != nil {
		g.check(upstream)
	}
}

// note opens a lost answer; it is false for an upstream that is about to leave.
func (g *contentGuard) note(l lostAnswer) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining[l.upstream] {
		return false
	}
	g.lost = append(g.lost, l)
	if len(g.lost) > maxLostAnswers {
		g.lost = slices.Delete(g.lost, 0, len(g.lost)-maxLostAnswers)
	}
	return true
}

// Alive clears the answers that an upstream lost after a connection was made and before
// a request was sent over it that it answered: its process lived on.
func (g *contentGuard) Alive(upstream site.Upstream, connected, sent time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lost = slices.DeleteFunc(g.lost, func(l lostAnswer) bool {
		return l.upstream == upstream.ID && l.at.After(connected) && l.at.Before(sent)
	})
}

// Unreachable takes the answers that an upstream lost for a crash.
func (g *contentGuard) Unreachable(upstream site.Upstream) { g.died(upstream.ID, "unreachable") }

// seen takes over the upstreams as the catalog has them: one that is gone or started
// again had crashed, unless it was leaving.
func (g *contentGuard) seen(all map[string]site.Upstream) {
	for _, id := range g.compare(all) {
		g.died(id, "entry_gone_or_renewed")
	}
}

// compare drops the lost answers that are too old or of upstreams that leave, and
// returns the upstreams of the others that are gone or started again.
func (g *contentGuard) compare(all map[string]site.Upstream) (dead []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.draining = make(map[string]bool)
	for id, u := range all {
		if u.Draining {
			g.draining[id] = true
		}
	}
	now := g.now()
	g.lost = slices.DeleteFunc(g.lost, func(l lostAnswer) bool {
		if g.draining[l.upstream] {
			return true
		}
		if now.Sub(l.at) > suspectTime {
			g.logger.Info("crash not confirmed", "content", l.content.String(), "upstream", l.upstream, "waited", now.Sub(l.at))
			return true
		}
		if u, there := all[l.upstream]; !there || !u.Born.Equal(l.born) {
			dead = append(dead, l.upstream)
		}
		return false
	})
	return dead
}

// died counts a crash against each content whose answer the upstream lost; evidence
// is how its death showed.
func (g *contentGuard) died(upstream, evidence string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.lost = slices.DeleteFunc(g.lost, func(l lostAnswer) bool {
		if l.upstream != upstream {
			return false
		}
		count := g.registry.RecordCrash(l.at, l.content, l.incarnation(), false)
		g.logger.Info("crash counted", "content", l.content.String(), "crashes", count, "upstream", l.incarnation(),
			"evidence", evidence, "noticed_after", now.Sub(l.at))
		return true
	})
}

// Succeeded notes that the content ran to its end.
func (g *contentGuard) Succeeded(content poison.Fingerprint) {
	before := g.registry.Crashes(content)
	if left := g.registry.RecordSuccess(g.now(), content); left < before {
		g.logger.Info("crash outweighed by successes", "content", content.String(), "crashes", left)
	}
}

// parole lets contents run again that were refused for long.
func (g *contentGuard) parole() {
	for _, content := range g.registry.EndQuarantines(g.now()) {
		g.logger.Info("content may run again", "content", content.String())
	}
}

// convicted counts the contents that are refused.
func (g *contentGuard) convicted() int64 { return g.count((*poison.Entry).Quarantined) }

// suspected counts the contents that crashed upstreams and are not cleared.
func (g *contentGuard) suspected() int64 {
	return g.count(func(e *poison.Entry) bool { return e.Count() > 0 })
}

func (g *contentGuard) count(is func(*poison.Entry) bool) int64 {
	n := int64(0)
	for _, e := range g.registry.Snapshot() {
		if is(&e) {
			n++
		}
	}
	return n
}

// crashed returns contents for other nodes: those that crashed several upstreams, and
// others by chance, so that each is told in time however many there are.
func (g *contentGuard) crashed() []poison.Entry {
	return g.sample(toldRepeated, toldOthers, g.now().Add(-toldTime))
}

// lasting returns contents for processes that start when all others have ended.
func (g *contentGuard) lasting() []poison.Entry {
	return g.sample(lastingRepeated, lastingOthers, time.Time{})
}

func (g *contentGuard) sample(repeated, others int, since time.Time) []poison.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Sample(repeated, others, since, g.random)
}

// hear takes over what another node knows.
func (g *contentGuard) hear(entries []poison.Entry) {
	if len(entries) > 0 {
		g.registry.Merge(entries)
	}
}
