package quota

import (
	"sync"
	"time"
)

const (
	// silence is after how long without a message a node counts as not heard, at least,
	// and silentExchanges after how many exchanges: some messages may be lost.
	silence         = time.Second
	silentExchanges = 4
	// lateExchangesTenths is after how many tenths of an exchange without a message a
	// node slows its own spending, before it reserves the other's share: two messages
	// may be lost.
	lateExchangesTenths = 25
	// forgetInterval is how often silent nodes are looked for that can be forgotten.
	forgetInterval = 250 * time.Millisecond
	// forgetAfter is after how long a silent node's share goes back to the others.
	forgetAfter = 30 * time.Second
	// forgetAllAfter is the same for a node that hears nobody: it cannot tell
	// whether the others are gone or it is cut off, and the others forget it first.
	forgetAllAfter = 60 * time.Second
	// forgetGoneAfter is for how long it is remembered what such a node had spent.
	forgetGoneAfter = time.Hour
	// rateWindow and rateWeight smooth the rate at which others spend.
	rateWindow = 400 * time.Millisecond
	rateWeight = 0.5
	// minWait and maxWait bound the time to come back that a refusal names.
	minWait = 50 * time.Millisecond
	maxWait = 5 * time.Second
)

// Ledger holds the accounts of all workspaces. It is safe for concurrent use.
type Ledger struct {
	now func() time.Time
	// interval is how often so many nodes exchange what they spent.
	interval func(nodes int) time.Duration
	// window is the span within which a quota is counted.
	window time.Duration

	mu       sync.Mutex
	accounts map[string]*account
	peers    map[string]*peer
	// gone holds nodes that were silent for so long that their share went back, with what
	// they had spent when they were heard last.
	gone map[string]*peer
	// advanced is when the accounts were brought to now last.
	advanced time.Time
	// forgotten is when silent nodes were looked for last.
	forgotten time.Time
	// restored is the checkpoint that accounts begin with; nil until there is one.
	restored *restored
}

// peer is what is known of another node.
type peer struct {
	incarnation string
	heard       time.Time
	// everHeard is false for a node that is only known to exist.
	everHeard bool
	// missing is true while the node is not heard and its share is reserved.
	missing bool
	// started is when its process started, and unsettled what that had spent when it was
	// first heard, while it is open whether that counts.
	started   time.Time
	unsettled map[string]float64
	// assumed is what was reserved for it since it was heard, by workspace.
	assumed map[string]float64
	spent   map[string]float64
}

// New returns a ledger that counts within window. Nothing can be spent until Begin or
// Restore, or a window after the start.
func New(now func() time.Time, interval func(nodes int) time.Duration, window time.Duration) *Ledger {
	return &Ledger{
		now: now, interval: interval, window: window,
		accounts: make(map[string]*account), peers: make(map[string]*peer), gone: make(map[string]*peer), advanced: now(),
	}
}

// Decision is the answer to Take with what decided it.
type Decision struct {
	Allowed bool
	// RetryAfter is when to come back; 0 for a request that is allowed.
	RetryAfter time.Duration
	// Left is what was left to spend.
	Left float64
	// Recent is what was spent within the last window.
	Recent float64
	// Silent is how many nodes are not heard, whose shares are reserved.
	Silent int
}

// Take spends units of a workspace, or says when to come back.
func (l *Ledger) Take(workspace string, limit Limit, units float64) Decision {
	if limit.Rate <= 0 {
		return Decision{Allowed: true}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.advance(now)
	a := l.account(workspace, limit, now)
	lag := l.lag(now)
	out := Decision{Left: a.left(now, lag), Recent: a.recent(now), Silent: l.silent()}
	if out.Left <= 0 {
		out.RetryAfter = a.wait(units/2, now, lag)
		return out
	}
	a.spend(now, units)
	a.spent += units
	out.Allowed = true
	return out
}

// Refund gives back the units of a request that did not run.
func (l *Ledger) Refund(workspace string, units float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.accounts[workspace]; a != nil {
		a.spend(l.now(), -units)
		a.spent -= units
	}
}

// Spent returns what this process spent so far, for the other nodes.
func (l *Ledger) Spent() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.accounts))
	for name, a := range l.accounts {
		out[name] = a.spent
	}
	return out
}

// Know notes that another node exists, so that its share is reserved until it is heard.
func (l *Ledger) Know(node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers[node] == nil {
		now := l.now()
		l.peers[node] = &peer{heard: now, missing: true, assumed: make(map[string]float64), spent: make(map[string]float64)}
	}
}

// Hear takes over what another node's process spent since it started, by the clock of
// this ledger; a zero time says that the start is not known.
func (l *Ledger) Hear(node, incarnation string, started time.Time, spent map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.advance(now)
	p := l.peers[node]
	silent := time.Duration(0)
	if known := l.gone[node]; known != nil && (p == nil || !p.everHeard) && known.incarnation == incarnation {
		p, silent = known, now.Sub(known.heard)
		p.assumed = nil
		l.peers[node] = p
	}
	delete(l.gone, node)
	switch {
	case p == nil || !p.everHeard:
		p = &peer{started: started, unsettled: spent, spent: spent}
		l.peers[node] = p
		l.settle(p, now)
	case p.incarnation != incarnation:
		// The new process begins at 0; what was reserved for the one before it stays spent.
		p.spent, p.assumed = make(map[string]float64), nil
	}
	p.incarnation, p.heard, p.everHeard, p.missing = incarnation, now, true, false
	for name, units := range spent {
		a := l.open(name, now)
		spent := a.lately(units-p.spent[name], silent, len(l.peers)+1)
		a.noteOthers(now, spent, beyond(spent, p.assumed[name]))
	}
	p.spent = spent
	p.assumed = make(map[string]float64)
}

// settle counts what a node's process had spent when it was first heard, if it started
// after what this process begins with: else the checkpoint holds it.
func (l *Ledger) settle(p *peer, now time.Time) {
	if l.restored == nil {
		return
	}
	if p.started.After(l.restored.at) {
		for name, units := range p.unsettled {
			l.open(name, now).noteOthers(now, units, units)
		}
	}
	p.unsettled = nil
}

// beyond returns what was spent beyond what was reserved. Less than that gives
// nothing back: what was reserved lies in older parts of the window and leaves it by itself.
func beyond(spent, assumed float64) float64 {
	if assumed == 0 {
		return spent
	}
	return max(0, spent-assumed)
}

// open returns the account of a workspace, made when there is none.
func (l *Ledger) open(workspace string, now time.Time) *account {
	a := l.accounts[workspace]
	if a == nil {
		a = &account{window: l.window, at: now, othersAt: now}
		l.accounts[workspace] = a
	}
	return a
}

// account returns the account of a workspace with its limit, begun when it is new.
func (l *Ledger) account(workspace string, limit Limit, now time.Time) *account {
	a := l.open(workspace, now)
	a.limit = limit
	if a.begun {
		return a
	}
	a.begun = true
	nodes := len(l.peers) + 1
	if l.restored == nil {
		a.beginFull(now)
		return a
	}
	a.restore(workspace, l.restored, now, nodes)
	room := max(0, a.room(now, 0))
	for _, p := range l.peers {
		if p.missing && p.everHeard {
			p.assume(workspace, a, now, room/float64(nodes))
		}
	}
	return a
}

// advance brings all accounts to now and reserves the shares of silent nodes.
func (l *Ledger) advance(now time.Time) {
	l.forget(now)
	r, heard := l.reach(now), l.heardLately(now)+1
	for _, a := range l.accounts {
		a.fill(now, r, float64(heard)/float64(r.nodes))
	}
	shares := make(map[string]share, len(l.accounts))
	for name, a := range l.accounts {
		shares[name] = share{
			room:  max(0, a.room(now, 0)) / float64(r.nodes),
			freed: a.free(now) / float64(r.nodes),
			due:   a.bound() * now.Sub(l.advanced).Seconds() / l.window.Seconds() / float64(r.nodes),
		}
	}
	l.advanced = now
	for _, p := range l.peers {
		l.reserve(p, now, shares)
	}
}

// share is the equal part of each node in one workspace.
type share struct {
	// room is of what is left in the window; freed is of what left it, and due of what
	// the quota gave, since the accounts were last brought to now.
	room, freed, due float64
}

// forget gives the shares of nodes back that are silent for long.
func (l *Ledger) forget(now time.Time) {
	if now.Sub(l.forgotten) < forgetInterval {
		return
	}
	l.forgotten = now
	limit := forgetAllAfter
	for _, p := range l.peers {
		if !p.missing {
			limit = forgetAfter
		}
	}
	for name, p := range l.peers {
		if now.Sub(p.heard) > limit {
			delete(l.peers, name)
			if p.everHeard {
				l.gone[name] = p
			}
		}
	}
	for name, p := range l.gone {
		if now.Sub(p.heard) > forgetGoneAfter {
			delete(l.gone, name)
		}
	}
}

// reserve counts the share of a node that is not heard as spent: once of the room that
// there was, then of what comes free. A node that was never heard may have ended long
// ago: it counts with what the quota gives in the meantime.
func (l *Ledger) reserve(p *peer, now time.Time, shares map[string]share) {
	if !p.missing && now.Sub(p.heard) <= max(silence, silentExchanges*l.interval(len(l.peers))) {
		return
	}
	for name, a := range l.accounts {
		units := shares[name].freed
		switch {
		case !p.everHeard:
			units = shares[name].due
		case !p.missing:
			units += shares[name].room + a.othersRate/float64(len(l.peers))*now.Sub(p.heard).Seconds()
		}
		p.assume(name, a, now, units)
	}
	p.missing = true
}

// assume counts units of one workspace as spent by the node.
func (p *peer) assume(name string, a *account, now time.Time, units float64) {
	a.since.add(now, a.window, units)
	p.assumed[name] += units
}

// lag is how long ago the others were heard, on average: for so long they may have
// spent unheard. What silent nodes spend is reserved instead.
func (l *Ledger) lag(now time.Time) time.Duration {
	var sum time.Duration
	interval := l.interval(len(l.peers))
	for _, p := range l.peers {
		if !p.missing {
			sum += max(interval, now.Sub(p.heard))
		}
	}
	if len(l.peers) == 0 {
		return 0
	}
	return sum / time.Duration(len(l.peers))
}

// reach is how far what one node spends is from being known by all.
type reach struct {
	// nodes is how many nodes spend.
	nodes int
	// lag is how long ago the others were heard, on average.
	lag time.Duration
	// horizon is after what time all have heard what one spent.
	horizon time.Duration
}

func (l *Ledger) reach(now time.Time) reach {
	lag := max(l.lag(now), l.interval(len(l.peers)))
	return reach{nodes: len(l.peers) + 1, lag: lag, horizon: lag + l.interval(len(l.peers))}
}

// heardLately returns how many nodes were heard within a few exchanges.
func (l *Ledger) heardLately(now time.Time) int {
	n, interval := 0, l.interval(len(l.peers))
	for _, p := range l.peers {
		if p.everHeard && now.Sub(p.heard) <= interval*lateExchangesTenths/10 {
			n++
		}
	}
	return n
}

// silent returns how many nodes are not heard.
func (l *Ledger) silent() int {
	n := 0
	for _, p := range l.peers {
		if p.missing {
			n++
		}
	}
	return n
}
