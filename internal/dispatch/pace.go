package dispatch

import "time"

// paceMeter measures the time between the tokens that come from one upstream.
type paceMeter struct {
	first, last time.Time
	// gaps counts the times between two tokens.
	gaps int
}

// token notes that a token came at now.
func (m *paceMeter) token(now time.Time) {
	if m.first.IsZero() {
		m.first = now
		return
	}
	m.last = now
	m.gaps++
}

// pace returns the mean time between tokens, or 0 when fewer than two came.
func (m *paceMeter) pace() time.Duration {
	if m.gaps == 0 {
		return 0
	}
	return m.last.Sub(m.first) / time.Duration(m.gaps)
}
