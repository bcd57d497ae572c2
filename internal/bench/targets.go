package bench

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// The targets that a run is held against.
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
	wave               = "reclaim+refused"
	calm               = "calm"
)

// target is a figure, its bound and whether it was met.
type target struct {
	shape, name string
	value       float64
	bound       float64
	met         bool
}

// WriteTargets prints each target with the figure of these results.
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

// waveTargets are those of a reclaim of a whole domain with refused starts.
func (g *groups) waveTargets(shape string) []target {
	own, ok := g.byKey[groupKey{shape, wave, ProductName}]
	if !ok {
		return nil
	}
	most := func(a, b float64) bool { return a > b }
	least := func(a, b float64) bool { return a < b }
	goodput := g.best(shape, wave, func(r *group) float64 { return r.Goodput }, most)
	recomputed := g.best(shape, wave, func(r *group) float64 { return float64(r.Recomputed) }, least)
	out := []target{
		atLeast(shape, "wave: goodput / best baseline", own.Goodput/goodput, targetGoodputRatio),
		atMost(shape, "wave: tokens recomputed / best baseline", float64(own.Recomputed)/recomputed, targetRecomputed),
	}
	if oracle, ok := g.byKey[groupKey{shape, wave, OracleName}]; ok {
		out = append(out, atLeast(shape, "wave: goodput / oracle", own.Goodput/oracle.Goodput, targetOracleRatio))
	}
	if other, ok := g.byKey[groupKey{shape, wave, LeastOutstandingName}]; ok {
		out = append(out, atMost(shape, "wave: cost per weighted answer / least outstanding", own.CostPerWorth/other.CostPerWorth, targetCostRatio))
	}
	return out
}

// calmTargets are those at nominal load without faults.
func (g *groups) calmTargets(shape string) []target {
	own, ok := g.byKey[groupKey{shape, calm, ProductName}]
	if !ok {
		return nil
	}
	return []target{
		atMost(shape, "calm: p95 to first token, ms", own.FirstTokenP95, targetFirstTokenMs),
		atMost(shape, "calm: p95 between tokens, ms", own.BetweenTokensP95, targetBetweenMs),
	}
}

// worstTargets are those that hold in every scenario.
func (g *groups) worstTargets(shape string) []target {
	retries, crashes, late, wrong, fair := 0.0, 0, 0, 0, 1.0
	for _, key := range g.order {
		if key.shape != shape || key.system != ProductName {
			continue
		}
		r := g.byKey[key]
		retries = max(retries, r.RetryShare)
		crashes = max(crashes, r.Crashes)
		late = max(late, r.LateWork)
		wrong += r.FalseConvictions
		fair = min(fair, r.FairShare)
	}
	return []target{
		atMost(shape, "worst: retries as a share of traffic", retries, targetRetryShare),
		atLeast(shape, "worst: fair share of a small workspace", fair, targetFairShare),
		atMost(shape, "worst: upstream crashes by one content", float64(crashes), targetCrashes),
		atMost(shape, "worst: false convictions", float64(wrong), 0),
		atMost(shape, "worst: sends 3 s after the notice", float64(late), 0),
	}
}

func atLeast(shape, name string, value, bound float64) target {
	return target{shape: shape, name: name, value: value, bound: bound, met: value >= bound}
}

func atMost(shape, name string, value, bound float64) target {
	return target{shape: shape, name: name, value: value, bound: bound, met: value <= bound}
}
