package exchange

import "time"

// likelyWholeShare is the share of a route's responses that must fit into the time that is left
// for a request to be accepted early in a shutdown.
const likelyWholeShare = 0.8

// Shutdown is the planned end of the process.
type Shutdown struct {
	// MovedAt is when every client has had the time to switch to another node.
	MovedAt time.Time
	// Ends is when the process breaks off what is still in progress.
	Ends time.Time
}

// accepts reports whether a request is accepted at now. Until clients have moved to other nodes,
// it suffices that most responses like it are complete in time; usual is how long these take at
// most. Later, a request must not be able to outlast the process.
func (s *Shutdown) accepts(now, deadline time.Time, usual time.Duration) bool {
	if now.Before(s.MovedAt) {
		return !now.Add(min(usual, deadline.Sub(now))).After(s.Ends)
	}
	return !deadline.After(s.Ends)
}

// refusalIfStopping returns a refusal if the process ends too early for the request's response.
func (e *exchange) refusalIfStopping() *refusal {
	shutdown := e.options.Shutdown()
	if shutdown == nil {
		return nil
	}
	usual, known := e.options.Durations.Within(e.route.Name, likelyWholeShare)
	now := time.Now()
	if !known {
		usual = e.deadline.Sub(now)
	}
	if shutdown.accepts(now, e.deadline, usual) {
		return nil
	}
	return stoppingRefusal
}
