package bench

import (
	"math/rand/v2"
	"time"
)

// clock is a virtual clock with a heap of the scheduled events.
type clock struct {
	now    time.Duration
	serial uint64
	events []event
	random *rand.Rand
}

// event is a scheduled call. Events of the same time run in the order of their serials.
type event struct {
	at     time.Duration
	serial uint64
	run    func()
}

// epoch is the wall-clock time at which the virtual clock starts.
var epoch = time.Unix(1_700_000_000, 0)

func newClock(seed, stream uint64) *clock {
	return &clock{random: rand.New(rand.NewPCG(seed, stream))}
}

// wallTime returns the virtual time as the wall-clock time that the decision packages are
// given.
func (c *clock) wallTime() time.Time {
	return epoch.Add(c.now)
}

// after schedules f after the time d.
func (c *clock) after(d time.Duration, f func()) {
	c.at(c.now+d, f)
}

// at schedules f for the time t, or for now if t is past.
func (c *clock) at(t time.Duration, f func()) {
	c.serial++
	c.events = append(c.events, event{at: max(t, c.now), serial: c.serial, run: f})
	c.siftUp(len(c.events) - 1)
}

// runUntil runs all events up to and including end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := c.pop()
		c.now = e.at
		e.run()
	}
	c.now = end
}

func (c *clock) less(i, j int) bool {
	a, b := &c.events[i], &c.events[j]
	return a.at < b.at || a.at == b.at && a.serial < b.serial
}

func (c *clock) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !c.less(i, parent) {
			return
		}
		c.events[i], c.events[parent] = c.events[parent], c.events[i]
		i = parent
	}
}

// pop removes the first event and returns it.
func (c *clock) pop() event {
	top := c.events[0]
	last := len(c.events) - 1
	c.events[0] = c.events[last]
	c.events[last] = event{}
	c.events = c.events[:last]
	c.siftDown(0)
	return top
}

func (c *clock) siftDown(i int) {
	for {
		child := 2*i + 1
		if child >= len(c.events) {
			return
		}
		if child+1 < len(c.events) && c.less(child+1, child) {
			child++
		}
		if !c.less(child, i) {
			return
		}
		c.events[i], c.events[child] = c.events[child], c.events[i]
		i = child
	}
}

// jitter returns a random duration from 0 up to d, without d.
func (c *clock) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(c.random.Int64N(int64(d)))
}
