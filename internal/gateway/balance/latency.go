package balance

import "time"

// latency is the estimated time to the first event of a request at an upstream, in its parts.
type latency struct {
	// wait is the time until the upstream begins with the request, penalties included.
	wait time.Duration
	// own is the time that the request itself then takes.
	own time.Duration
}

func (l latency) total() time.Duration { return l.wait + l.own }
