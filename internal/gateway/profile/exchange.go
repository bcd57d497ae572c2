package profile

import "time"

const (
	// maxShared bounds the timings in one message, and sharedFor their age: long enough to be in
	// two messages at a large site, since one may be lost.
	maxShared = 16
	sharedFor = 1500 * time.Millisecond
	// maxSenders bounds the senders that an inbox remembers.
	maxSenders = 4096
)

// Outbox holds this node's latest timings for the other nodes.
type Outbox struct {
	// total counts the timings added so far; recent holds the latest ones, the newest last.
	total  uint64
	recent []sharedTiming
}

type sharedTiming struct {
	timing Timing
	at     time.Time
}

// Add adds a timing.
func (o *Outbox) Add(t Timing, now time.Time) {
	o.total++
	if len(o.recent) == maxShared {
		copy(o.recent, o.recent[1:])
		o.recent = o.recent[:maxShared-1]
	}
	o.recent = append(o.recent, sharedTiming{timing: t, at: now})
}

// Latest returns the timings to send now and the number of all timings so far, the last of these
// included.
func (o *Outbox) Latest(now time.Time) (list []Timing, total uint64) {
	for _, s := range o.recent {
		if now.Sub(s.at) <= sharedFor {
			list = append(list, s.timing)
		}
	}
	return list, o.total
}

// Inbox tells which timings of a message have not been received before.
type Inbox struct {
	senders map[string]received
}

// received is the number of timings received from a process.
type received struct {
	incarnation string
	total       uint64
}

// New returns the timings in list, of a node's message, that are new. total is the number of timings
// that the sender has recorded so far.
func (i *Inbox) New(node, incarnation string, list []Timing, total uint64) []Timing {
	if total == 0 {
		return nil
	}
	if i.senders == nil || len(i.senders) > maxSenders {
		i.senders = make(map[string]received) // nodes that are gone
	}
	before := i.senders[node]
	if before.incarnation != incarnation {
		before = received{incarnation: incarnation}
	}
	if total <= before.total {
		return nil
	}
	i.senders[node] = received{incarnation: incarnation, total: total}
	fresh := min(total-before.total, uint64(len(list)), maxShared)
	return list[uint64(len(list))-fresh:]
}
