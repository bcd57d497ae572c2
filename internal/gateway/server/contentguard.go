package server

import (
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/poison"
)

// crashWindow is within what time after an answer was lost the upstream must turn
// out to be dead for the content to be suspected: a lost answer alone is no crash.
const crashWindow = 3 * time.Second

// contentGuard keeps contents that crash upstreams from being sent again, on this
// node and by what other nodes tell. It is safe for concurrent use.
type contentGuard struct {
	now      func() time.Time
	registry *poison.Registry
	logger   *slog.Logger

	mu sync.Mutex
	// lost holds answers that were lost and whose upstream may have crashed.
	lost []lostAnswer
}

type lostAnswer struct {
	at       time.Time
	content  poison.Fingerprint
	upstream string
	born     time.Time
}

func newContentGuard(now func() time.Time, logger *slog.Logger) *contentGuard {
	return &contentGuard{now: now, registry: poison.NewRegistry(), logger: logger}
}

// contentOf names a request by what the client sent, whatever its attempt ID.
func contentOf(r *site.Request) poison.Fingerprint {
	input := strings.Join([]string{r.Key, r.Method, r.Target, string(r.Body)}, "\n")
	return poison.Of(ident.Model(r.Model), "", ident.Service(r.Host), input)
}

// Convicted reports whether the content must not be sent again.
func (g *contentGuard) Convicted(r *site.Request) bool {
	return g.registry.Check(contentOf(r)) != nil
}

// AnswerLost notes that the connection to an upstream broke while it ran the content.
func (g *contentGuard) AnswerLost(r *site.Request, upstream site.Upstream) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.lost = slices.DeleteFunc(g.lost, func(l lostAnswer) bool {
		if now.Sub(l.at) <= crashWindow {
			return false
		}
		g.logger.Info("crash not confirmed", "content", l.content.String(), "upstream", l.upstream, "waited", now.Sub(l.at))
		return true
	})
	g.lost = append(g.lost, lostAnswer{at: now, content: contentOf(r), upstream: upstream.ID, born: upstream.Born})
}

// Unreachable takes the answers that an upstream lost just before for a crash.
func (g *contentGuard) Unreachable(upstream site.Upstream) { g.died(upstream.ID, "unreachable") }

// seen takes over the upstreams as the catalog has them: one that is gone or started
// again had crashed, unless it was leaving.
func (g *contentGuard) seen(all map[string]site.Upstream) {
	g.mu.Lock()
	var dead []string
	for _, l := range g.lost {
		u, there := all[l.upstream]
		if !there || !u.Born.Equal(l.born) {
			dead = append(dead, l.upstream)
		}
	}
	g.mu.Unlock()
	for _, id := range dead {
		g.died(id, "entry_gone_or_renewed")
	}
}

// died counts a crash against each content whose answer the upstream lost; evidence
// is how its death showed.
func (g *contentGuard) died(upstream, evidence string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	g.lost = slices.DeleteFunc(g.lost, func(l lostAnswer) bool {
		if l.upstream != upstream || now.Sub(l.at) > crashWindow {
			return false
		}
		// An upstream that started again under its ID is another one that can crash.
		incarnation := ident.Upstream(upstream + "@" + strconv.FormatInt(l.born.UnixMilli(), 36))
		count := g.registry.Crashed(l.at, l.content, incarnation, false)
		g.logger.Info("crash counted", "content", l.content.String(), "crashes", count, "upstream", incarnation,
			"evidence", evidence, "noticed_after", now.Sub(l.at))
		return true
	})
}

// Succeeded notes that the content ran to its end.
func (g *contentGuard) Succeeded(r *site.Request) {
	if content := contentOf(r); g.registry.Suspect(content) {
		g.registry.Succeeded(g.now(), content)
	}
}

// maxToldEntries bounds the contents that a message to other nodes tells of.
const maxToldEntries = 16

// convicted counts the contents that are refused.
func (g *contentGuard) convicted() int64 {
	n := int64(0)
	for _, e := range g.registry.Snapshot() {
		if e.Convicted() {
			n++
		}
	}
	return n
}

// suspected counts the contents that crashed upstreams and are not cleared.
func (g *contentGuard) suspected() int64 {
	n := int64(0)
	for _, e := range g.registry.Snapshot() {
		if e.Count() > 0 {
			n++
		}
	}
	return n
}

// crashed returns the suspected contents for other nodes, the worst first.
func (g *contentGuard) crashed() []poison.Entry {
	entries := g.registry.Snapshot()
	slices.SortStableFunc(entries, func(a, b poison.Entry) int { return b.Count() - a.Count() })
	return entries[:min(len(entries), maxToldEntries)]
}

// hear takes over what another node knows.
func (g *contentGuard) hear(entries []poison.Entry) {
	if len(entries) > 0 {
		g.registry.Merge(entries)
	}
}
