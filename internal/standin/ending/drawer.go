package ending

import (
	"math/rand/v2"
	"sync"
)

// Drawer draws endings by a seed. It is safe for concurrent use. A nil Drawer draws none.
type Drawer struct {
	settings Settings
	mu       sync.Mutex
	random   *rand.Rand
	// odd draws statuses and early responses, so that the other draws of a seed keep their meaning.
	odd *rand.Rand
}

// NewDrawer returns a Drawer with the shares and the seed of settings.
func NewDrawer(settings Settings) *Drawer {
	return &Drawer{
		settings: settings,
		random:   rand.New(rand.NewPCG(uint64(settings.Seed), 42)),
		odd:      rand.New(rand.NewPCG(uint64(settings.Seed), 43)),
	}
}

// Next returns the ending of the next response, and false if it is an ordinary one.
func (d *Drawer) Next(stream bool) (Ending, bool) {
	if d == nil {
		return Ending{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.happens(d.settings.DrawnPercent) {
		return Ending{}, false
	}
	for {
		e := d.draw()
		if !e.possible(stream) {
			continue
		}
		if d.odd.IntN(100) < d.settings.OddStatusPercent {
			e.StatusLine = oddStatusLines[d.odd.IntN(len(oddStatusLines))]
		}
		return e, true
	}
}

// NextEarly returns the ending of a response to a request whose long body has not been read yet, and false
// if the body is to be read.
func (d *Drawer) NextEarly() (Ending, bool) {
	if d == nil {
		return Ending{}, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.odd.IntN(100) >= d.settings.EarlyPercent {
		return Ending{}, false
	}
	return Ending{Framing: Framing(d.odd.IntN(3)), Close: Close(d.odd.IntN(2)), Early: true}, true
}

func (d *Drawer) happens(percent int) bool { return d.random.IntN(100) < percent }

func (d *Drawer) draw() Ending {
	e := Ending{Framing: Framing(d.random.IntN(3))}
	if d.happens(d.settings.CutPercent) {
		e.Stop = 1 + Stop(d.random.IntN(int(stopCount)-1))
	}
	n := d.random.IntN(100)
	for _, share := range []struct {
		percent int
		ending  Close
	}{{d.settings.ResetPercent, ByReset}, {d.settings.OpenPercent, Never}, {d.settings.ProcessEndPercent, WithProcess}} {
		if n < share.percent {
			e.Close = share.ending
			return e
		}
		n -= share.percent
	}
	return e
}
