package bench

import (
	"runtime"
	"sync"

	"mangoledge.example/mangoledge/internal/routing"
)

// NominalLoad is the requested load of the bench's runs, as a fraction of nominal
// capacity.
const NominalLoad = 0.85

// System is a named way to route requests to upstreams.
type System struct {
	// Name is its name in the table.
	Name string
	// Baseline is true for the baselines; the targets compare the product with the best one.
	Baseline bool
	build    func(*world) system
}

// ProductName and OracleName are the names of the systems that the targets refer to.
const (
	ProductName = "mangoledge"
	OracleName  = "oracle"
)

// Systems returns the product, the baselines and the oracle.
func Systems() []System {
	return []System{
		baselineOf("random", func() routing.Policy { return routing.Random{} }),
		baselineOf("round-robin", func() routing.Policy { return &routing.RoundRobin{} }),
		baselineOf(LeastOutstandingName, func() routing.Policy { return routing.LeastOutstanding{} }),
		baselineOf("power-of-two", func() routing.Policy { return routing.PowerOfTwo{} }),
		variantOf(variant{name: ProductName}),
		variantOf(variant{name: OracleName, oracle: true, engineQueue: true}),
	}
}

// LeastOutstandingName is the name of the baseline that the cost target refers to.
const LeastOutstandingName = "least-outstanding"

// Variants returns the product with one part switched off in each.
func Variants() []System {
	return []System{
		variantOf(variant{name: "-owner", noOwner: true}),
		variantOf(variant{name: "-line", engineQueue: true}),
		variantOf(variant{name: "-overcommit", noOvercommit: true}),
		variantOf(variant{name: "-admission", noAdmission: true}),
		variantOf(variant{name: "-prefix", noPrefix: true, weights: func(w *routing.Weights) { w.Prefix = 0 }}),
		variantOf(variant{name: "-queue", weights: func(w *routing.Weights) { w.Queue = 0 }}),
		variantOf(variant{name: "-domain", weights: func(w *routing.Weights) { w.Domain = 0 }}),
		variantOf(variant{name: "-price", weights: func(w *routing.Weights) { w.Price = 0 }}),
		variantOf(variant{name: "-reclaim", weights: func(w *routing.Weights) { w.Reclaim = 0 }}),
	}
}

// baselineOf returns a baseline whose nodes choose by the policies that policy returns.
func baselineOf(name string, policy func() routing.Policy) System {
	return System{Name: name, Baseline: true, build: func(w *world) system { return newBaseline(w, policy) }}
}

// variantOf returns the product with the parts that v describes.
func variantOf(v variant) System {
	return System{Name: v.name, build: func(w *world) system { return newProduct(w, v) }}
}

// Task describes one run.
type Task struct {
	Shape    Shape
	Scenario Scenario
	System   System
	Seed     uint64
	// Load is the requested load as a fraction of nominal capacity.
	Load float64
}

// Run makes one run and returns its result.
func Run(t Task) *Result {
	w := newWorld(t.Shape, t.Scenario, t.Seed)
	s := t.System.build(w)
	r := w.run(s, t.Load)
	r.System = t.System.Name
	return r
}

// RunAll makes the runs, several at a time, and returns their results in the order of
// tasks.
func RunAll(tasks []Task) []*Result {
	results := make([]*Result, len(tasks))
	next := make(chan int)
	var workers sync.WaitGroup
	for range max(1, runtime.GOMAXPROCS(0)/2) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for i := range next {
				results[i] = Run(tasks[i])
			}
		}()
	}
	for i := range tasks {
		next <- i
	}
	close(next)
	workers.Wait()
	return results
}
