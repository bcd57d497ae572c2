package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// The bounds of the targets, and the names of the scenarios that they refer to.
const (
	targetGoodputRatio = 1.25
	targetOracleRatio  = 0.95
	targetRecomputed   = 0.5
	targetCostRatio    = 0.85
	targetFirstTokenMs = 1600
	targetBetweenMs    = 35
	targetRetryShare   = 0.10
	targetFairShare    = 0.90
	targetCrashes      = 3
	waveScenario       = "reclaim+refused"
	calmScenario       = "calm"
)

// target is a measured figure with its bound and whether the bound is met.
type target struct {
	shape, name string
	value       float64
	bound       float64
	met         bool
}

// WriteTargets writes each target with its figure and bound.
func WriteTargets(out io.Writer, results []*Result) error {
	g := groupResults(results)
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(table, "\ntarget\tshape\tfigure\tbound\t\n")
	for _, t := range g.targets() {
		verdict := "missed"
		if t.met {
			verdict = "met"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%.3f\t%.3f\t%s\n", t.name, t.shape, t.value, t.bound, verdict)
	}
	return errors.Wrap(table.Flush(), "targets")
}

// targets returns the targets of each shape.
func (g *groups) targets() []target {
	var out []target
	seen := make(map[string]bool)
	for _, key := range g.order {
		if seen[key.shape] {
			continue
		}
		seen[key.shape] = true
		out = append(out, g.waveTargets(key.shape)...)
		out = append(out, g.calmTargets(key.shape)...)
		out = append(out, g.worstTargets(key.shape)...)
	}
	return out
}

// waveTargets returns the targets for a reclaim of a whole failure domain while starts are
// refused.
func (g *groups) waveTargets(shape string) []target {
	own, ok := g.byKey[groupKey{shape, waveScenario, ProductName}]
	if !ok {
		return nil
	}
	most := func(a, b float64) bool { return a > b }
	least := func(a, b float64) bool { return a < b }
	goodput := g.bestBaseline(shape, waveScenario, func(r *group) float64 { return r.Goodput }, most)
	recomputed := g.bestBaseline(shape, waveScenario, func(r *group) float64 { return float64(r.Recomputed) }, least)
	out := []target{
		atLeast(shape, "wave: goodput / best baseline", own.Goodput/goodput, targetGoodputRatio),
		atMost(shape, "wave: tokens recomputed / best baseline", float64(own.Recomputed)/recomputed, targetRecomputed),
	}
	if oracle, ok := g.byKey[groupKey{shape, waveScenario, OracleName}]; ok {
		out = append(out, atLeast(shape, "wave: goodput / oracle", own.Goodput/oracle.Goodput, targetOracleRatio))
	}
	if other, ok := g.byKey[groupKey{shape, waveScenario, LeastOutstandingName}]; ok {
		out = append(out, atMost(shape, "wave: cost per weighted answer / least outstanding", own.CostPerWorth/other.CostPerWorth, targetCostRatio))
	}
	return out
}

// calmTargets returns the targets at nominal load without faults.
func (g *groups) calmTargets(shape string) []target {
	own, ok := g.byKey[groupKey{shape, calmScenario, ProductName}]
	if !ok {
		return nil
	}
	return []target{
		atMost(shape, "calm: p95 to first token, ms", own.FirstTokenP95, targetFirstTokenMs),
		atMost(shape, "calm: p95 between tokens, ms", own.BetweenTokensP95, targetBetweenMs),
	}
}

// worstTargets returns the targets that hold in every scenario; each figure is the worst
// of all scenarios, that of false convictions their sum.
func (g *groups) worstTargets(shape string) []target {
	retries, crashes, late, wrong, fair := 0.0, 0, 0, 0, 1.0
	for _, key := range g.order {
		if key.shape != shape || key.system != ProductName {
			continue
		}
		r := g.byKey[key]
		retries = max(retries, r.RetryShare)
		crashes = max(crashes, r.Crashes)
		late = max(late, r.LateSends)
		wrong += r.FalseConvictions
		fair = min(fair, r.LeastFairShare)
	}
	return []target{
		atMost(shape, "worst: retries as a share of traffic", retries, targetRetryShare),
		atLeast(shape, "worst: fair share of a small workspace", fair, targetFairShare),
		atMost(shape, "worst: upstream crashes by one content", float64(crashes), targetCrashes),
		atMost(shape, "worst: false convictions", float64(wrong), 0),
		atMost(shape, "worst: sends 3 s after the notice", float64(late), 0),
	}
}

// atLeast returns a target whose value must not be below bound.
func atLeast(shape, name string, value, bound float64) target {
	return target{shape: shape, name: name, value: value, bound: bound, met: value >= bound}
}

// atMost returns a target whose value must not be above bound.
func atMost(shape, name string, value, bound float64) target {
	return target{shape: shape, name: name, value: value, bound: bound, met: value <= bound}
}
