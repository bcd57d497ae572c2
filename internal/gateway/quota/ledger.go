package quota

import (
	"sync"
	"time"
)

const (
	// A node is silent after minSilence and after silentExchanges exchange intervals without a
	// message, whichever is longer: some messages may be lost.
	minSilence      = time.Second
	silentExchanges = 4
	// lateExchangesTenths is the time without a message, in tenths of an exchange interval, after
	// which a node slows its own spending, before it reserves the other node's share. Two
	// messages may be lost.
	lateExchangesTenths = 25
	// minAdvanceInterval and advanceIntervalPerNode give the least time between two steps of all
	// accounts. A step takes time in proportion to the nodes, and messages of all of them arrive.
	minAdvanceInterval     = 20 * time.Millisecond
	advanceIntervalPerNode = 250 * time.Microsecond
	// pruneInterval is how often the ledger looks for silent nodes to remove.
	pruneInterval = 250 * time.Millisecond
	// releaseAfter is how long a node must be silent before its share returns to the others.
	releaseAfter = 30 * time.Second
	// isolatedReleaseAfter replaces releaseAfter at a node that receives messages of no other.
	// It cannot determine whether the others are gone or it is partitioned from them; the others
	// remove it first.
	isolatedReleaseAfter = 60 * time.Second
	// departedRetention is how long the spending of a removed node is remembered.
	departedRetention = time.Hour
	// peerRateInterval and peerRateWeight smooth the rate at which other nodes spend.
	peerRateInterval = 400 * time.Millisecond
	peerRateWeight   = 0.5
	// minRetryAfter and maxRetryAfter bound the RetryAfter of a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// Ledger holds the accounts of all workspaces. It is safe for concurrent use.
type Ledger struct {
	now func() time.Time
	// exchangeInterval returns how often nodes exchange what they spent, by the number of nodes.
	exchangeInterval func(nodes int) time.Duration
	// window is the length of the sliding window that quotas apply to.
	window time.Duration

	mu       sync.Mutex
	accounts map[string]*account
	peers    map[string]*peer
	// departed holds nodes whose share was released because they were silent for too long, with
	// their last reported spending.
	departed map[string]*peer
	// advancedAt is when the accounts were last advanced.
	advancedAt time.Time
	// prunedAt is when the ledger last looked for silent nodes to remove.
	prunedAt time.Time
	// startState is what accounts start from; nil until StartWithoutCheckpoint or Restore.
	startState *startState
}

// peer is what is known of another node.
type peer struct {
	incarnation string
	lastHeard   time.Time
	// everHeard is false for a node that is known only from AddPeer.
	everHeard bool
	// silent is true while the node is silent and its share is reserved.
	silent bool
	// started is when the node's process started. unsettled is what that process had spent when
	// it was first heard, as long as it is undecided whether the checkpoint includes it.
	started   time.Time
	unsettled map[string]float64
	// reserved is what was reserved for the node since it was last heard, by workspace; spent is
	// what its process had spent by then.
	reserved map[string]float64
	spent    map[string]float64
}

// New returns a ledger with the given window. Nothing can be spent before StartWithoutCheckpoint
// or Restore, or before a window has passed.
func New(now func() time.Time, interval func(nodes int) time.Duration, window time.Duration) *Ledger {
	return &Ledger{
		now: now, exchangeInterval: interval, window: window,
		accounts: make(map[string]*account), peers: make(map[string]*peer), departed: make(map[string]*peer), advancedAt: now(),
	}
}

// Decision is the result of Take and the figures that it is based on.
type Decision struct {
	Allowed bool
	// RetryAfter is the time after which to retry; 0 for an allowed request.
	RetryAfter time.Duration
	// Available is what this node could spend.
	Available float64
	// WindowSpent is what was spent, or is reserved, within the last window.
	WindowSpent float64
	// SilentNodes is the number of silent nodes, whose shares are reserved.
	SilentNodes int
}

// Take spends units of a workspace if any are available at this node, and otherwise returns when to
// retry. A request that needs more than is available is allowed too; the budget may
// become negative.
func (l *Ledger) Take(workspace string, limit Limit, units float64) Decision {
	if limit.Rate <= 0 {
		return Decision{Allowed: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.advanceIfDue(now)
	a := l.initializedAccount(workspace, limit, now)
	lag := l.averageLag(now)
	out := Decision{Available: a.available(now, lag), WindowSpent: a.windowSpent(now), SilentNodes: l.countSilent()}
	if out.Available <= 0 {
		out.RetryAfter = a.retryAfter(units/2, now, lag)
		return out
	}
	a.recordOwn(now, units)
	a.totalSpent += units
	out.Allowed = true
	return out
}

// Refund returns the units of a request that did not run.
func (l *Ledger) Refund(workspace string, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[workspace]; a != nil {
		a.recordOwn(l.now(), -units)
		a.totalSpent -= units
	}
}

// Spent returns what this process spent since its start, by workspace, for the other nodes.
func (l *Ledger) Spent() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		out[name] = a.totalSpent
	}
	return out
}

// AddPeer records that another node exists, so that its share is reserved until it is heard.
func (l *Ledger) AddPeer(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[node] == nil {
		now := l.now()
		l.peers[node] = &peer{lastHeard: now, silent: true, reserved: make(map[string]float64), spent: make(map[string]float64)}
	}
}

// RecordPeer records what the process of another node has spent since its start. started is on this
// ledger's clock; zero means that it is not known.
func (l *Ledger) RecordPeer(node, incarnation string, started time.Time, spent map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	p := l.peers[node]
	if p == nil || p.silent {
		l.advance(now) // its share is reserved up to now
	} else {
		l.advanceIfDue(now)
	}
	silence := time.Duration(0)
	if known := l.departed[node]; known != nil && (p == nil || !p.everHeard) && known.incarnation == incarnation {
		p, silence = known, now.Sub(known.lastHeard)
		p.reserved = nil
		l.peers[node] = p
	}
	delete(l.departed, node)
	switch {
	case p == nil || !p.everHeard:
		p = &peer{started: started, unsettled: spent, spent: spent}
		l.peers[node] = p
		l.countInitial(p, now)
	case p.incarnation != incarnation:
		// The new process starts at 0; what was reserved for the previous one stays spent.
		p.spent, p.reserved = make(map[string]float64), nil
	}
	p.incarnation, p.lastHeard, p.everHeard, p.silent = incarnation, now, true, false
	for name, units := range spent {
		a := l.accountOf(name, now)
		spent := a.withinWindow(units-p.spent[name], silence, len(l.peers)+1)
		a.recordPeers(now, spent, excess(spent, p.reserved[name]))
	}
	p.spent = spent
	p.reserved = make(map[string]float64)
}

// countInitial counts what a node's process had spent when it was first heard, if it started
// after the checkpoint that this process started from. Otherwise the checkpoint includes it.
func (l *Ledger) countInitial(p *peer, now time.Time) {
	if l.startState == nil {
		return
	}
	if p.started.After(l.startState.takenAt) {
		for name, units := range p.unsettled {
			l.accountOf(name, now).recordPeers(now, units, units)
		}
	}
	p.unsettled = nil
}

// excess returns what was spent beyond what was reserved. A reservation that was too large is not
// returned: it lies in older slots and leaves the window with them.
func excess(spent, reserved float64) float64 {
	if reserved == 0 {
		return spent
	}
	return max(0, spent-reserved)
}

// accountOf returns the account of a workspace, creating it if needed.
func (l *Ledger) accountOf(workspace string, now time.Time) *account {
	a := l.accounts[workspace]
	if a == nil {
		a = &account{window: l.window, refilledAt: now, peerRateAt: now}
		l.accounts[workspace] = a
	}
	return a
}

// initializedAccount returns the account of a workspace with its limit set, and initializes it on
// first use.
func (l *Ledger) initializedAccount(workspace string, limit Limit, now time.Time) *account {
	a := l.accountOf(workspace, now)
	a.limit = limit
	if a.initialized {
		return a
	}
	a.initialized = true
	nodes := len(l.peers) + 1
	if l.startState == nil {
		a.assumeFullySpent(now)
		return a
	}
	a.restore(workspace, l.startState, now, nodes)
	headroom := max(0, a.headroom(now, 0))
	for _, p := range l.peers {
		if p.silent && p.everHeard {
			p.reserve(workspace, a, now, headroom/float64(nodes))
		}
	}
	return a
}

// advanceIfDue advances the accounts unless that was done a moment ago.
func (l *Ledger) advanceIfDue(now time.Time) {
	if now.Sub(l.advancedAt) >= max(minAdvanceInterval, time.Duration(len(l.peers))*advanceIntervalPerNode) {
		l.advance(now)
	}
}

// advance refills all accounts up to now and reserves the shares of silent nodes.
func (l *Ledger) advance(now time.Time) {
	l.releaseShares(now)
	r, heard := l.propagation(now), l.countRecentlyHeard(now)+1
	for _, a := range l.accounts {
		a.refill(now, r, float64(heard)/float64(r.nodes))
	}
	shares := make(map[string]nodeShare, len(l.accounts))
	for name, a := range l.accounts {
		shares[name] = nodeShare{
			headroom: max(0, a.headroom(now, 0)) / float64(r.nodes),
			expired:  a.takeExpired(now) / float64(r.nodes),
			accrued:  a.windowLimit() * now.Sub(l.advancedAt).Seconds() / l.window.Seconds() / float64(r.nodes),
		}
	}
	l.advancedAt = now
	for _, p := range l.peers {
		l.reserveShare(p, now, shares)
	}
}

// nodeShare is the equal share of each node in one workspace.
type nodeShare struct {
	// headroom is the share of what is left in the window, expired of what left the window, and
	// accrued of what the quota added, the latter two since accounts were last advanced.
	headroom, expired, accrued float64
}

// releaseShares removes nodes that have been silent for too long, which returns their shares to
// the others.
func (l *Ledger) releaseShares(now time.Time) {
	if now.Sub(l.prunedAt) < pruneInterval {
		return
	}
	l.prunedAt = now
	limit := isolatedReleaseAfter
	for _, p := range l.peers {
		if !p.silent {
			limit = releaseAfter
		}
	}
	for name, p := range l.peers {
		if now.Sub(p.lastHeard) > limit {
			delete(l.peers, name)
			if p.everHeard {
				l.departed[name] = p
			}
		}
	}
	for name, p := range l.departed {
		if now.Sub(p.lastHeard) > departedRetention {
			delete(l.departed, name)
		}
	}
}

// reserveShare counts the share of a silent node as spent: first its share of the headroom, then
// its share of what leaves the window. A node that was never heard may have ended long ago: its
// share of what the quota adds in the meantime is reserved.
func (l *Ledger) reserveShare(p *peer, now time.Time, shares map[string]nodeShare) {
	if !p.silent && now.Sub(p.lastHeard) <= max(minSilence, silentExchanges*l.exchangeInterval(len(l.peers))) {
		return
	}
	for name, a := range l.accounts {
		units := shares[name].expired
		switch {
		case !p.everHeard:
			units = shares[name].accrued
		case !p.silent:
			units += shares[name].headroom + a.peerRate/float64(len(l.peers))*now.Sub(p.lastHeard).Seconds()
		}
		p.reserve(name, a, now, units)
	}
	p.silent = true
}

// reserve counts units of one workspace as spent by the node.
func (p *peer) reserve(name string, a *account, now time.Time, units float64) {
	a.since.add(now, a.window, units)
	p.reserved[name] += units
}

// averageLag is the average time since the last reports of the other nodes, in which they may
// have spent unreported units. Silent nodes count as zero: their shares are reserved instead.
func (l *Ledger) averageLag(now time.Time) time.Duration {
	var sum time.Duration
	interval := l.exchangeInterval(len(l.peers))
	for _, p := range l.peers {
		if !p.silent {
			sum += max(interval, now.Sub(p.lastHeard))
		}
	}
	if len(l.peers) == 0 {
		return 0
	}
	return sum / time.Duration(len(l.peers))
}

// propagation describes how long it takes until all nodes know what one node spent.
type propagation struct {
	// nodes is the number of nodes that spend, this one included.
	nodes int
	// lag is the average time since the last reports of the other nodes.
	lag time.Duration
	// horizon is the time after which all nodes know what one node spent.
	horizon time.Duration
}

func (l *Ledger) propagation(now time.Time) propagation {
	lag := max(l.averageLag(now), l.exchangeInterval(len(l.peers)))
	return propagation{nodes: len(l.peers) + 1, lag: lag, horizon: lag + l.exchangeInterval(len(l.peers))}
}

// countRecentlyHeard returns how many nodes were heard within lateExchangesTenths.
func (l *Ledger) countRecentlyHeard(now time.Time) int {
	n, interval := 0, l.exchangeInterval(len(l.peers))
	for _, p := range l.peers {
		if p.everHeard && now.Sub(p.lastHeard) <= interval*lateExchangesTenths/10 {
			n++
		}
	}
	return n
}

// countSilent returns the number of silent nodes.
func (l *Ledger) countSilent() int {
	n := 0
	for _, p := range l.peers {
		if p.silent {
			n++
		}
	}
	return n
}
