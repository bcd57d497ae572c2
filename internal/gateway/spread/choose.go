package spread

import (
	"math"
	"time"
)

// Candidate is an upstream that a request may be sent to.
type Candidate struct {
	// Cost is the estimated time to the first event of the request there, by the figures known.
	Cost time.Duration
	// PerRequest is by how much each further request raises Cost. It is positive.
	PerRequest time.Duration
}

// levelSteps is the number of bisections that find the common level: the error is a millionth of
// the range of the costs.
const levelSteps = 20

// Level returns the cost to which the unseen requests, and one more, have raised the cheapest
// candidates. There is at least one candidate; unseen is not negative.
func Level(candidates []Candidate, unseen float64) time.Duration {
	low, high := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, c := range candidates {
		low = min(low, c.Cost)
		high = min(high, c.Cost+time.Duration((unseen+1)*float64(c.PerRequest)))
	}
	high = max(high, low+1)
	for range levelSteps {
		middle := low + (high-low)/2
		if filled(candidates, middle) < unseen+1 {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}

// filled returns how many requests raise all candidates to the level.
func filled(candidates []Candidate, level time.Duration) float64 {
	sum := 0.0
	for _, c := range candidates {
		sum += room(c, level)
	}
	return sum
}

// room returns how many requests raise the candidate to the level.
func room(c Candidate, level time.Duration) float64 {
	if c.Cost >= level {
		return 0
	}
	return float64(level-c.Cost) / float64(c.PerRequest)
}

// Choose returns the index of one candidate, drawn with the probability of its share of the
// requests that reach the level. random returns a number in [0, 1).
func Choose(candidates []Candidate, level time.Duration, random func() float64) int {
	left := random() * filled(candidates, level)
	cheapest := 0
	for i, c := range candidates {
		if c.Cost < candidates[cheapest].Cost {
			cheapest = i
		}
		if left -= room(c, level); left < 0 {
			return i
		}
	}
	return cheapest // the level is at or below all costs
}

// Shares returns the probability with which Choose returns each candidate.
func Shares(candidates []Candidate, level time.Duration) []float64 {
	out := make([]float64, len(candidates))
	sum := filled(candidates, level)
	for i, c := range candidates {
		if sum > 0 {
			out[i] = room(c, level) / sum
		}
	}
	return out
}
