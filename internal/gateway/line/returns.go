package line

import "time"

const (
	// MaxRank is the last rank; 0 is the most urgent.
	MaxRank = 9
	// minReturn is the shortest time after which a refused client is asked to return.
	minReturn = 50 * time.Millisecond
	// returnSpread is the share of the time until there is room over which returns are spread.
	returnSpread = 1.0
	// minReturnSpread is the shortest span over which returns are spread.
	minReturnSpread = 200 * time.Millisecond
	// maxReturnShare is the share of the time left that a client may spend waiting to return.
	maxReturnShare = 1.0 / 3
	// rankShare is the part of the spread that is given out by rank; the rest is random.
	rankShare = 0.5
)

// Request is what is known about a refused request.
type Request struct {
	// Rank is the configured priority, from 0 (most urgent) to MaxRank.
	Rank int
	// Left is the time left until the deadline.
	Left time.Duration
}

// ReturnAfter returns when a refused client should return, or 0 if that would be useless. Returns are
// spread from the time at which room is expected, the more urgent requests first. A request with little
// time left returns within a third of it. random is in [0, 1).
func ReturnAfter(r *Request, roomIn time.Duration, random float64) time.Duration {
	latest := time.Duration(maxReturnShare * float64(r.Left))
	if latest < minReturn {
		return 0
	}
	spread := max(time.Duration(returnSpread*float64(roomIn)), minReturnSpread)
	byRank := float64(min(r.Rank, MaxRank)) / (MaxRank + 1)
	position := rankShare*byRank + (1-rankShare)*random
	after := max(roomIn, minReturn) + time.Duration(position*float64(spread))
	if after <= latest {
		return after
	}
	// The room comes after the last useful return: these spread over the second half of the time left for it.
	return latest - time.Duration((1-position)*float64(latest)/2)
}
