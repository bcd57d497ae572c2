package quota

import "time"

// Checkpoint is what was spent within the window before a time, over all nodes as
// far as its writer heard. A process that starts anew begins with it.
type Checkpoint struct {
	At time.Time `json:"at"`
	// Spent lists, by workspace, what was spent in each part of the window, the latest first.
	Spent map[string][]float64 `json:"spent"`
	// Limits are the quotas of the workspaces that the writer was asked for.
	Limits map[string]Limit `json:"limits,omitempty"`
}

// Checkpoint returns what was spent within the last window; at is the time of day.
func (l *Ledger) Checkpoint(at time.Time) Checkpoint {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.advance(now)
	out := Checkpoint{At: at, Spent: make(map[string][]float64, len(l.accounts)), Limits: make(map[string]Limit, len(l.accounts))}
	for name, a := range l.accounts {
		out.Spent[name] = a.history(now)
		if a.begun {
			out.Limits[name] = a.limit
		}
	}
	return out
}

const (
	// gapFactor is how many times its rate a workspace is given at most, by all nodes
	// together, and is taken to have spent between a checkpoint and the start of a process.
	gapFactor = 3.5
	// gapBurstShare is the part of its burst that a workspace is taken to have spent then
	// beside that, and that a process that starts gives out at once.
	gapBurstShare = 0.5
)

// Begin lets a process spend before which there were none, once it knows the others that
// start beside it.
func (l *Ledger) Begin() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.begin(&restored{})
}

// Begun reports whether it is known what was spent before the start of this process.
func (l *Ledger) Begun() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.restored != nil
}

// Restore replaces what this process assumed about the time before its start by a
// checkpoint of some age.
func (l *Ledger) Restore(c Checkpoint, age time.Duration, unknown Unknown) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.begin(&restored{checkpoint: c, at: now.Add(-max(age, 0)), unknown: unknown, read: now})
}

// begin lets accounts begin with what is known of the time before this process.
func (l *Ledger) begin(r *restored) {
	now := l.now()
	l.restored = r
	for _, p := range l.peers {
		l.settle(p, now)
	}
	for name, a := range l.accounts {
		if a.begun {
			a.restore(name, l.restored, now, len(l.peers)+1)
		}
	}
	// Checkpoints of this process hold what it restored before the first request asks for it.
	for name, spent := range r.checkpoint.Spent {
		if limit, known := r.checkpoint.Limits[name]; known {
			l.account(name, limit, now)
		} else {
			l.open(name, now).remember(spent, l.restored.at, now)
		}
	}
}

// Unknown is the time after a checkpoint in which others may have spent unheard.
type Unknown struct {
	// Any is time in which a workspace may have begun to ask for too much.
	Any time.Duration
	// Paced is further time, in which it got what pacing gives out at most.
	Paced time.Duration
}

// units is what a workspace is taken to have spent.
func (u Unknown) units(limit Limit, window time.Duration) float64 {
	if u == (Unknown{}) {
		return 0
	}
	return gapBurstShare*limit.Burst + limit.Rate*(gapFactor*min(u.Any, window).Seconds()+evenFactor*min(u.Paced, window).Seconds())
}

// restored is a checkpoint by the clock of this process.
type restored struct {
	checkpoint Checkpoint
	at         time.Time
	unknown    Unknown
	// read is when the process took it over.
	read time.Time
}

// history returns what was spent in each part of the last window, the latest first.
func (a *account) history(now time.Time) []float64 {
	out := make([]float64, 0, windowSlots)
	for back := range int64(windowSlots) {
		at := now.Add(-time.Duration(back) * a.window / windowSlots)
		out = append(out, a.before.at(at, a.window)+a.since.at(at, a.window))
	}
	return out
}

// remember replaces what was assumed of the time before this process by what a checkpoint
// says of it.
func (a *account) remember(spent []float64, taken, now time.Time) {
	a.before = history{}
	for back, units := range spent {
		if at := taken.Add(-time.Duration(back) * a.window / windowSlots); at.After(now.Add(-a.window)) {
			a.before.add(at, a.window, units)
		}
	}
}

// restore begins with a checkpoint and with what may have been spent unheard since, as far
// as that was left to spend.
func (a *account) restore(workspace string, r *restored, now time.Time, nodes int) {
	a.remember(r.checkpoint.Spent[workspace], r.at, now)
	if r.read.After(now.Add(-a.window)) {
		left := max(0, a.bound()-a.before.sum(now, a.window, 0))
		a.before.add(r.read, a.window, min(r.unknown.units(a.limit, a.window), left))
	}
	a.paced = savedShare * max(0, a.room(now, 0)) / float64(nodes)
	if r.unknown != (Unknown{}) {
		a.paced = min(a.paced, gapBurstShare*a.limit.Burst/float64(nodes)) // each start in a series gives it out again
	}
}
