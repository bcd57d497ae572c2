package profile

import "time"

const (
	// tokenUnit is the unit in which timings count tokens.
	tokenUnit = 16
	// maxCount bounds the counts of a timing that is taken into account.
	maxCount = 1 << 20
	// maxTook bounds the duration of a timing that is taken into account.
	maxTook = time.Minute
)

// Timing is the time to the first event of one request, and what the sender knew of the upstream's
// load when it sent the request.
type Timing struct {
	// Upstream is the hash of the upstream's ID and start.
	Upstream uint32
	// Tokens is the number of prompt tokens to prefill, in units of tokenUnit, and Ahead the number of
	// those that waited there already.
	Tokens int
	Ahead  int
	// Open is the number of requests in progress there.
	Open int
	// Millis is the time to the first event in milliseconds.
	Millis int
}

// NewTiming returns a timing; tokens, ahead and open are at least 0.
func NewTiming(upstream uint32, tokens, ahead, open int, took time.Duration) Timing {
	return Timing{
		Upstream: upstream, Tokens: units(tokens), Ahead: units(ahead), Open: open,
		Millis: int(min(max(took, 0), maxTook) / time.Millisecond),
	}
}

func units(tokens int) int { return (tokens + tokenUnit/2) / tokenUnit }

// work returns the load that the request met, its own tokens included.
func (t *Timing) work() Work {
	return Work{Tokens: t.Tokens * tokenUnit, Ahead: t.Ahead * tokenUnit, Open: t.Open}
}

// valid reports whether the timing can be used: it may come from another node.
func (t *Timing) valid() bool {
	return t.Millis > 0 && t.Millis < int(maxTook/time.Millisecond) &&
		inRange(t.Tokens) && inRange(t.Ahead) && inRange(t.Open)
}

func inRange(n int) bool { return n >= 0 && n <= maxCount }

// Work is what a request asks of an upstream and what it finds there.
type Work struct {
	// Tokens is the number of prompt tokens to prefill.
	Tokens int
	// Ahead is the number of prompt tokens of other requests that wait for prefill.
	Ahead int
	// Open is the number of other requests in progress.
	Open int
}
