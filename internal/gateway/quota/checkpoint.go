package quota

import "time"

// Checkpoint is what was spent within the window before a point in time, over all nodes as far as
// its writer knew. A process starts from it.
type Checkpoint struct {
	At time.Time `json:"at"`
	// Spent lists, by workspace, what was spent in each slot of the window, the latest first.
	Spent map[string][]float64 `json:"spent"`
	// Limits holds the quotas of the workspaces that sent requests to the writer.
	Limits map[string]Limit `json:"limits,omitempty"`
}

// Checkpoint returns what was spent within the last window; at is the wall-clock time that it is
// stamped with.
func (l *Ledger) Checkpoint(at time.Time) Checkpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.advance(now)
	out := Checkpoint{At: at, Spent: make(map[string][]float64, len(l.accounts)), Limits: make(map[string]Limit, len(l.accounts))}
	for name, a := range l.accounts {
		out.Spent[name] = a.spentPerSlot(now)
		if a.initialized {
			out.Limits[name] = a.limit
		}
	}
	return out
}

const (
	// maxRateFactor is the most that all nodes together allow a workspace, as a multiple of its
	// rate. A workspace is assumed to have spent at this rate between a checkpoint and the start
	// of a process.
	maxRateFactor = 3.5
	// gapBurstFraction is the part of its burst that a workspace is assumed to have spent in
	// addition during that time, and that a starting process allows at once.
	gapBurstFraction = 0.5
)

// StartWithoutCheckpoint allows spending without a checkpoint, for the first processes of a new
// deployment. It is called once this process knows the others that start with it.
func (l *Ledger) StartWithoutCheckpoint() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.initialize(&startState{})
}

// StartAfterUnknownSpending starts without a checkpoint at a deployment that ran before. Everything
// may have been spent just now, by processes that have ended, so nothing is available until a
// window has passed.
func (l *Ledger) StartAfterUnknownSpending() {
	l.Restore(Checkpoint{}, 0, Gap{AtMaxRate: l.window})
}

// Started reports whether StartWithoutCheckpoint or Restore was called, so that earlier spending
// is known.
func (l *Ledger) Started() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.startState != nil
}

// Restore replaces the assumptions about spending before the start of this process by a
// checkpoint. age is the checkpoint's age, gap the time that it does not cover.
func (l *Ledger) Restore(c Checkpoint, age time.Duration, gap Gap) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.initialize(&startState{checkpoint: c, takenAt: now.Add(-max(age, 0)), gap: gap, restoredAt: now})
}

// initialize sets what is known of the time before this process and applies it to the accounts.
func (l *Ledger) initialize(r *startState) {
	now := l.now()
	l.startState = r
	for _, p := range l.peers {
		l.countInitial(p, now)
	}
	for name, a := range l.accounts {
		if a.initialized {
			a.restore(name, l.startState, now, len(l.peers)+1)
		}
	}
	// Checkpoints written by this process include what it restored, also for workspaces that have
	// sent no request yet.
	for name, spent := range r.checkpoint.Spent {
		if limit, known := r.checkpoint.Limits[name]; known {
			l.initializedAccount(name, limit, now)
		} else {
			l.accountOf(name, now).replaceEarlier(spent, l.startState.takenAt, now)
		}
	}
}

// Gap is the time after a checkpoint in which spending by other nodes may have gone
// unreported.
type Gap struct {
	// AtMaxRate is the time in which a workspace may have spent at up to maxRateFactor times its
	// rate.
	AtMaxRate time.Duration
	// AtEvenRate is additional time, in which pacing limited it to the even rate.
	AtEvenRate time.Duration
}

// maxUnits is what a workspace is assumed to have spent in the gap.
func (u Gap) maxUnits(limit Limit, window time.Duration) float64 {
	if u == (Gap{}) {
		return 0
	}
	return gapBurstFraction*limit.Burst + limit.Rate*(maxRateFactor*min(u.AtMaxRate, window).Seconds()+evenRateFactor*min(u.AtEvenRate, window).Seconds())
}

// startState is the checkpoint that this process started from, with times on this process's
// clock.
type startState struct {
	checkpoint Checkpoint
	takenAt    time.Time
	gap        Gap
	// restoredAt is when this process restored the checkpoint.
	restoredAt time.Time
}

// spentPerSlot returns what was spent in each slot of the last window, the latest first.
func (a *account) spentPerSlot(now time.Time) []float64 {
	out := make([]float64, 0, windowSlots)
	for back := range int64(windowSlots) {
		at := now.Add(-time.Duration(back) * a.window / windowSlots)
		out = append(out, a.earlier.unitsAt(at, a.window)+a.since.unitsAt(at, a.window))
	}
	return out
}

// replaceEarlier replaces the assumptions about the time before this process by the contents of a
// checkpoint.
func (a *account) replaceEarlier(spent []float64, taken, now time.Time) {
	a.earlier = history{}
	for back, units := range spent {
		if at := taken.Add(-time.Duration(back) * a.window / windowSlots); at.After(now.Add(-a.window)) {
			a.earlier.add(at, a.window, units)
		}
	}
}

// restore starts the account from a checkpoint, and counts as spent what may have been spent
// unreported since then, up to the window limit.
func (a *account) restore(workspace string, r *startState, now time.Time, nodes int) {
	a.replaceEarlier(r.checkpoint.Spent[workspace], r.takenAt, now)
	if r.restoredAt.After(now.Add(-a.window)) {
		headroom := max(0, a.windowLimit()-a.earlier.sum(now, a.window, 0))
		a.earlier.add(r.restoredAt, a.window, min(r.gap.maxUnits(a.limit, a.window), headroom))
	}
	a.budget = savedFraction * max(0, a.headroom(now, 0)) / float64(nodes)
	if r.gap != (Gap{}) {
		a.budget = min(a.budget, gapBurstFraction*a.limit.Burst/float64(nodes)) // repeated restarts hand this out each time
	}
}
