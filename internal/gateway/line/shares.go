package line

import (
	"math"
	"sync"
	"time"
)

const (
	// useWindow is the time constant of the average of what a workspace uses.
	useWindow = 4 * time.Second
	// overShareFactor is how many times its share of the recent use a workspace has to have used to be
	// beyond its share.
	overShareFactor = 1.5
	// minActiveUse is the share of the whole recent use below which a workspace does not count as active.
	minActiveUse = 0.001
	// sumInterval is how often the use of all workspaces is added up.
	sumInterval = 100 * time.Millisecond
	// retention is how long nodes and workspaces without a report are kept.
	retention = time.Minute
)

// Shares compares what the workspaces of the site have used lately. Each node reports the total that
// each workspace has spent there; a node that is cut off compares what it still hears. It is safe for
// concurrent use.
type Shares struct {
	now func() time.Time

	mu sync.Mutex
	// totals are the last reported totals by node.
	totals map[string]*nodeTotals
	uses   map[string]*use
	// units is the recent use of the active workspaces and weights the sum of their weights, at summedAt.
	units, weights float64
	summedAt       time.Time
}

// nodeTotals is what one process of a node has reported.
type nodeTotals struct {
	incarnation string
	heardAt     time.Time
	spent       map[string]float64
}

// use is the recent use of a workspace, decayed over useWindow.
type use struct {
	units float64
	at    time.Time
}

// NewShares returns Shares without any use.
func NewShares(now func() time.Time) *Shares {
	return &Shares{now: now, totals: make(map[string]*nodeTotals), uses: make(map[string]*use)}
}

// Report records the totals, in quota units, that the workspaces have spent at a process of a node so
// far. The first report of a process only sets the base.
func (s *Shares) Report(node, incarnation string, spent map[string]float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	before := s.totals[node]
	if before != nil && before.incarnation == incarnation {
		for workspace, total := range spent {
			if units := total - before.spent[workspace]; units != 0 {
				s.useOf(workspace, now).add(units, now)
			}
		}
	}
	s.totals[node] = &nodeTotals{incarnation: incarnation, heardAt: now, spent: spent}
}

// Over reports whether the workspace has used more than its share. weight returns the configured weight
// of a workspace, relative to those of the others; one with a weight of 0 has no share, and is never over
// it.
func (s *Shares) Over(workspace string, weight func(string) float64) bool {
	own := weight(workspace)
	if own <= 0 {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	u := s.uses[workspace]
	if u == nil {
		return false
	}
	if s.summedAt.IsZero() || now.Sub(s.summedAt) >= sumInterval {
		s.sum(weight, now)
	}
	return s.weights > own && u.decayed(now)/own > overShareFactor*s.units/s.weights
}

// sum adds up the recent use and the weights of the active workspaces.
func (s *Shares) sum(weight func(string) float64, now time.Time) {
	whole := 0.0
	for _, u := range s.uses {
		whole += u.decayed(now)
	}
	s.units, s.weights, s.summedAt = 0, 0, now
	for workspace, u := range s.uses {
		recent, w := u.decayed(now), weight(workspace)
		if w > 0 && recent > minActiveUse*whole {
			s.units += recent
			s.weights += w
		}
	}
}

// Prune forgets nodes and workspaces that were last heard of before the retention period.
func (s *Shares) Prune() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for node, t := range s.totals {
		if now.Sub(t.heardAt) > retention {
			delete(s.totals, node)
		}
	}
	for workspace, u := range s.uses {
		if now.Sub(u.at) > retention {
			delete(s.uses, workspace)
		}
	}
}

func (s *Shares) useOf(workspace string, now time.Time) *use {
	u := s.uses[workspace]
	if u == nil {
		u = &use{at: now}
		s.uses[workspace] = u
	}
	return u
}

// add adds units, which are negative for a refund.
func (u *use) add(units float64, now time.Time) {
	u.units = max(0, u.decayed(now)+units)
	u.at = now
}

func (u *use) decayed(now time.Time) float64 {
	return u.units * math.Exp(-now.Sub(u.at).Seconds()/useWindow.Seconds())
}
