package bench

import (
	"math"
)

// group combines the results of runs that differ only in their seeds. See add for what is
// a mean, an extreme or a sum.
type group struct {
	Result
	runs int
}

// groupKey identifies a group.
type groupKey struct {
	shape, scenario, system string
}

// groups are the groups of a set of results, in the order of their first results.
type groups struct {
	order []groupKey
	byKey map[groupKey]*group
}

// groupResults groups results by shape, scenario and system.
func groupResults(results []*Result) *groups {
	g := &groups{byKey: make(map[groupKey]*group)}
	for _, r := range results {
		key := groupKey{r.Shape, r.Scenario, r.System}
		have, ok := g.byKey[key]
		if !ok {
			have = &group{Result: Result{Shape: r.Shape, Scenario: r.Scenario, System: r.System, LeastFairShare: math.Inf(1)}}
			g.byKey[key] = have
			g.order = append(g.order, key)
		}
		have.add(r)
	}
	return g
}

// add includes r. Ratios, times and costs are means; LeastFairShare, Crashes and LateSends
// keep the worst value; the other counts are sums. OfferedWorth, AnsweredWorth,
// AnsweredRequests and Sends are left out.
func (g *group) add(r *Result) {
	n := float64(g.runs)
	mean := func(old *float64, value float64) { *old = (*old*n + value) / (n + 1) }
	mean(&g.Goodput, r.Goodput)
	mean(&g.FirstTokenP95, r.FirstTokenP95)
	mean(&g.BetweenTokensP95, r.BetweenTokensP95)
	mean(&g.CostPerWorth, r.CostPerWorth)
	mean(&g.RetryShare, r.RetryShare)
	mean(&g.RefusalP95, r.RefusalP95)
	g.LeastFairShare = min(g.LeastFairShare, r.LeastFairShare)
	g.Crashes = max(g.Crashes, r.Crashes)
	g.LateSends = max(g.LateSends, r.LateSends)
	g.FalseConvictions += r.FalseConvictions
	g.Recomputed += r.Recomputed
	g.Requests += r.Requests
	g.Refused += r.Refused
	g.Withdrawn += r.Withdrawn
	g.Late += r.Late
	g.Failed += r.Failed
	g.Stays += r.Stays
	g.Transfers += r.Transfers
	g.Prefills += r.Prefills
	g.Resumes += r.Resumes
	g.runs++
}

// bestBaseline returns the best value among the baselines of a shape and scenario, or NaN
// if there is none.
func (g *groups) bestBaseline(shape, scenario string, value func(*group) float64, better func(a, b float64) bool) float64 {
	best := math.NaN()
	for _, s := range Systems() {
		have, ok := g.byKey[groupKey{shape, scenario, s.Name}]
		if !ok || !s.Baseline {
			continue
		}
		if v := value(have); math.IsNaN(best) || better(v, best) {
			best = v
		}
	}
	return best
}
