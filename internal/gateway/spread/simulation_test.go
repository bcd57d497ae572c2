package spread

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The simulation: many nodes send requests to upstreams of uneven speed. Each node knows what it
// sent itself, and what the others had outstanding when its last figures were made.
const (
	simNodes     = 83
	simUpstreams = 90
	simLoad      = 0.7
	simWork      = 90 * time.Millisecond // of one request at an upstream of speed 1
	simRequests  = 10_000
)

var simSpeeds = []float64{0.6, 1, 1.6}

// simulation holds, in seconds, when each upstream has finished what it was sent.
type simulation struct {
	random *rand.Rand
	now    float64
	busy   [simUpstreams]float64
	// figures holds each node's copy of busy, made at madeAt, and renewAt when it gets the next.
	figures         [simNodes][simUpstreams]float64
	madeAt, renewAt [simNodes]float64
}

func speedOf(upstream int) float64 { return simSpeeds[upstream%len(simSpeeds)] }

func workAt(upstream int) float64 { return simWork.Seconds() / speedOf(upstream) }

// totalRate is the number of requests a second that loads all upstreams to simLoad.
func totalRate() float64 {
	sum := 0.0
	for u := range simUpstreams {
		sum += speedOf(u)
	}
	return simLoad * sum / simWork.Seconds()
}

// policy returns the upstream for a request of a node, given the time when each upstream is free
// by the node's figures and the number of requests that it cannot know of.
type policy func(s *simulation, node int, unseen float64) int

func (s *simulation) candidates(node int) []Candidate {
	out := make([]Candidate, simUpstreams)
	for u := range out {
		wait := max(0, s.figures[node][u]-s.now)
		out[u] = Candidate{Cost: seconds(wait + workAt(u)), PerRequest: seconds(workAt(u))}
	}
	return out
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func leastCost(s *simulation, node int, _ float64) int {
	best, c := 0, s.candidates(node)
	for u := range c {
		if c[u].Cost < c[best].Cost {
			best = u
		}
	}
	return best
}

func twoChoices(s *simulation, node int, _ float64) int {
	c := s.candidates(node)
	one, two := s.random.IntN(simUpstreams), s.random.IntN(simUpstreams)
	if c[two].Cost < c[one].Cost {
		return two
	}
	return one
}

func byShare(s *simulation, node int, unseen float64) int {
	c := s.candidates(node)
	return Choose(c, Level(c, unseen), s.random.Float64)
}

func withFreshFigures(s *simulation, node int, _ float64) int {
	s.figures[node] = s.busy
	return leastCost(s, node, 0)
}

// result is what the callers of a simulated site get.
type result struct {
	// meanWait and lateWait (99 of 100 are shorter) are times until a request begins, in seconds.
	meanWait, lateWait float64
	// spread is the mean deviation of the upstreams' queues, in seconds.
	spread float64
}

// simulate plays a site whose figures reach each node every interval, delay after they were made.
func simulate(seed uint64, interval, delay float64, choose policy) result {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 7))}
	for n := range simNodes {
		s.renewAt[n] = interval * s.random.Float64()
	}
	rate := totalRate()
	var waits, deviations []float64
	type arrival struct {
		at, wait float64
		upstream int
	}
	var sent []arrival
	for i := range simRequests {
		s.now += s.random.ExpFloat64() / rate
		node := s.random.IntN(simNodes)
		if s.now >= s.renewAt[node] {
			s.renewAt[node] = s.now + interval
			s.madeAt[node] = s.now - delay
			// What was sent within delay is not in the figures.
			s.figures[node] = s.busy
			for j := len(sent) - 1; j >= 0 && sent[j].at > s.madeAt[node]; j-- {
				s.figures[node][sent[j].upstream] -= workAt(sent[j].upstream)
			}
		}
		u := choose(s, node, rate*(s.now-s.madeAt[node]))
		begin := max(s.now, s.busy[u])
		s.busy[u] = begin + workAt(u)
		s.figures[node][u] = max(s.now, s.figures[node][u]) + workAt(u)
		sent = append(sent, arrival{s.now, begin - s.now, u})
		if i < simRequests/10 {
			continue
		}
		waits = append(waits, begin-s.now)
		if i%500 == 0 {
			deviations = append(deviations, s.deviation())
		}
	}
	slices.Sort(waits)
	return result{meanWait: mean(waits), lateWait: waits[len(waits)*99/100], spread: mean(deviations)}
}

func (s *simulation) deviation() float64 {
	var queues []float64
	for _, free := range s.busy {
		queues = append(queues, max(0, free-s.now))
	}
	m, sum := mean(queues), 0.0
	for _, q := range queues {
		sum += (q - m) * (q - m)
	}
	return math.Sqrt(sum / float64(len(queues)))
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// figureAges are intervals between figures and their delays, in seconds.
var figureAges = [][2]float64{{0.1, 0.02}, {0.4, 0.15}, {0.6, 0.4}, {1, 0.5}}

func TestUpstreamsAreNotOverrunInTurnsByOldFigures(t *testing.T) {
	for _, age := range figureAges {
		for seed := range uint64(2) {
			before, after := simulate(seed, age[0], age[1], leastCost), simulate(seed, age[0], age[1], byShare)
			require.Less(t, after.spread, before.spread/2, "age %v, seed %d", age, seed)
			require.Less(t, after.lateWait, before.lateWait/2, "age %v, seed %d", age, seed)
			require.Less(t, after.meanWait, before.meanWait/2, "age %v, seed %d", age, seed)
		}
	}
}

func TestSharesAreNotMuchWorseThanTwoChoicesAtAnyAge(t *testing.T) {
	for _, age := range figureAges {
		sampled, after := simulate(1, age[0], age[1], twoChoices), simulate(1, age[0], age[1], byShare)
		require.Less(t, after.lateWait, 1.25*sampled.lateWait, "age %v", age)
	}
}

func BenchmarkOldFigures(b *testing.B) {
	for _, age := range figureAges {
		for name, p := range map[string]policy{"least": leastCost, "two": twoChoices, "share": byShare, "perfect": withFreshFigures} {
			b.Run(fmt.Sprintf("%s/interval=%v/delay=%v", name, age[0], age[1]), func(b *testing.B) {
				var r result
				for b.Loop() {
					r = simulate(1, age[0], age[1], p)
				}
				b.ReportMetric(1000*r.meanWait, "ms-mean")
				b.ReportMetric(1000*r.lateWait, "ms-p99")
				b.ReportMetric(1000*r.spread, "ms-spread")
			})
		}
	}
}
