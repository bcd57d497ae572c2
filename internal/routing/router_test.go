package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
)

var start = time.Unix(1000, 0)

const testSlots = 4

func replicas(n int) []fleet.Upstream {
	out := make([]fleet.Upstream, n)
	for i := range out {
		out[i] = fleet.Upstream{
			ID: ident.Upstream(fmt.Sprintf("u%d", i)), FailureDomain: "d0", Models: []ident.Model{"m"},
			Slots: testSlots, PricePerHour: 1 + float64(i%3), State: fleet.StateReady,
		}
	}
	return out
}

func features(blocks ...Block) *Features {
	return &Features{Model: "m", Blocks: blocks, PromptTokens: len(blocks)*blockTokens + 10, MaxTokens: 100}
}

func policies() []Policy {
	return []Policy{Random{}, &RoundRobin{}, LeastOutstanding{}, PowerOfTwo{}, CostPolicy{Weights: WeightsFor(0.5)}}
}

// step is one random operation on a table.
type step struct {
	operation, argument int
}

func stepGenerator() gopter.Gen {
	one := gopter.CombineGens(gen.IntRange(0, 5), gen.IntRange(0, 7)).Map(func(v []any) step {
		return step{v[0].(int), v[1].(int)}
	})
	return gen.SliceOfN(120, one)
}

// An exact table never exceeds slots plus overcommit and never chooses a leaving
// upstream, and its counters never decrease, for random sequences of operations.
func TestExactTableInvariants(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(11)
	parameters.MinSuccessfulTests = 200
	properties := gopter.NewProperties(parameters)
	for _, policy := range policies() {
		properties.Property(fmt.Sprintf("%T", policy), prop.ForAll(func(all []step) bool {
			return runExactTable(policy, all)
		}, stepGenerator()))
	}
	properties.TestingRun(t)
}

func runExactTable(policy Policy, all []step) bool {
	const overcommit = 1
	table := NewTable(Options{Exact: true, Overcommit: overcommit})
	table.Update(start, replicas(5))
	router := NewRouter(table, policy, rand.New(rand.NewPCG(1, 2)))
	leaving := make(map[ident.Upstream]bool)
	taken := make(map[ident.Upstream]int)
	now := start
	var started, ended uint64
	for _, s := range all {
		now = now.Add(100 * time.Millisecond)
		id := ident.Upstream(fmt.Sprintf("u%d", s.argument%5))
		switch s.operation {
		case 0, 1, 2:
			picked, ok := router.Reserve(now, features(Block(s.argument)))
			if !ok {
				break
			}
			taken[picked]++
			if leaving[picked] || taken[picked] > testSlots+overcommit {
				return false
			}
		case 3:
			if taken[id] > 0 {
				taken[id]--
				table.RecordEnd(now, id, false, Outcome{Kind: OutcomeKind(s.argument % 5)})
			}
		case 4:
			table.ApplyCacheEvents(now, id, []CacheEvent{{Op: CacheOp(s.argument % 2), Block: Block(s.argument)}})
		case 5:
			if s.argument == 0 {
				table.MarkLeaving(id)
				leaving[id] = true
				table.Update(now, replicas(5))
			}
		}
		a, b := table.Counters()
		if a < started || b < ended || b > a {
			return false
		}
		started, ended = a, b
	}
	return true
}

func TestCostPrefersCachedPrefix(t *testing.T) {
	table := NewTable(Options{Exact: true})
	table.Update(start, replicas(8))
	router := NewRouter(table, CostPolicy{Weights: Weights{Queue: 1, Prefix: 1}}, rand.New(rand.NewPCG(1, 2)))
	prefix := features(1, 2, 3, 4, 5, 6)
	first, ok := router.Reserve(start, prefix)
	require.True(t, ok)
	again, ok := router.Reserve(start, prefix)
	require.True(t, ok)
	require.Equal(t, first, again)

	table.ApplyCacheEvents(start, first, []CacheEvent{{Op: CacheRemove, Block: 1}})
	table.ApplyCacheEvents(start, "u7", []CacheEvent{{CacheAdd, 1}, {CacheAdd, 2}, {CacheAdd, 3}})
	moved, ok := router.Pick(start, prefix)
	require.True(t, ok)
	require.Equal(t, ident.Upstream("u7"), moved, "cache events did not override what was inferred from sent requests")

	later := start.Add(3 * blockPeriod)
	table.index.match(later, prefix.Blocks)
	require.Zero(t, table.index.depth, "outdated entries were not dropped")
}

func TestBreakerOpensProbesAndCloses(t *testing.T) {
	table := NewTable(Options{})
	table.Update(start, replicas(1))
	router := NewRouter(table, Random{}, rand.New(rand.NewPCG(1, 2)))
	f := features()
	for range breakerFailures {
		_, ok := router.Reserve(start, f)
		require.True(t, ok)
		table.RecordEnd(start, "u0", false, Outcome{Kind: OutcomeFailed})
	}
	_, ok := router.Reserve(start, f)
	require.False(t, ok, "the breaker did not open")
	later := start.Add(breakerBaseOpen)
	_, ok = router.Reserve(later, f)
	require.True(t, ok, "the open breaker admitted no probe")
	_, ok = router.Reserve(later, f)
	require.False(t, ok, "a second probe was admitted")
	table.RecordEnd(later, "u0", false, Outcome{Kind: OutcomeFailed})
	_, ok = router.Reserve(later.Add(breakerBaseOpen), f)
	require.False(t, ok, "a failed probe did not double the open time")
	_, ok = router.Reserve(later.Add(2*breakerBaseOpen), f)
	require.True(t, ok)
	table.RecordEnd(later, "u0", false, Outcome{Kind: OutcomeDone})
	_, ok = router.Reserve(later.Add(2*breakerBaseOpen), f)
	require.True(t, ok, "the breaker did not close after a complete answer")
}

func TestNewReplicaStartsSlowly(t *testing.T) {
	table := NewTable(Options{Exact: true})
	table.Update(start, replicas(1))
	table.Update(start, replicas(2))
	require.InDelta(t, testSlots*slowStartShare, table.replicas["u1"].capacity(start), 1e-9)
	require.InDelta(t, testSlots, table.replicas["u0"].capacity(start), 1e-9)
	require.InDelta(t, testSlots, table.replicas["u1"].capacity(start.Add(slowStartTime)), 1e-9)
}

// A slow replica takes fewer requests, also when its requests were cancelled before
// they ended, and regains its slots when it is fast again.
func TestSlowReplicaGetsFewerRequests(t *testing.T) {
	const overcommit = 2
	table := NewTable(Options{Exact: true, Overcommit: overcommit})
	table.Update(start, replicas(1))
	router := NewRouter(table, LeastOutstanding{}, rand.New(rand.NewPCG(1, 2)))
	fill := func(kind OutcomeKind, perToken time.Duration) int {
		taken := 0
		for {
			if _, ok := router.Reserve(start, features()); !ok {
				break
			}
			taken++
		}
		for range taken {
			table.RecordEnd(start, "u0", false, Outcome{Kind: kind, PerToken: perToken})
		}
		return taken
	}
	require.Equal(t, testSlots+overcommit, fill(OutcomeCancelled, 100*time.Millisecond))
	for range 5 {
		fill(OutcomeCancelled, 100*time.Millisecond)
	}
	require.Equal(t, 2, fill(OutcomeDone, 20*time.Millisecond), "want one request for the capacity and one for the overcommit")
	for range 20 {
		fill(OutcomeDone, 20*time.Millisecond)
	}
	require.Equal(t, testSlots+overcommit, fill(OutcomeDone, 20*time.Millisecond))
}

func TestLeavingOutcomeStopsNewRequests(t *testing.T) {
	table := NewTable(Options{Exact: true})
	table.Update(start, replicas(1))
	router := NewRouter(table, Random{}, rand.New(rand.NewPCG(1, 2)))
	id, ok := router.Reserve(start, features())
	require.True(t, ok)
	table.RecordEnd(start, id, false, Outcome{Kind: OutcomeLeaving})
	_, ok = router.Reserve(start, features())
	require.False(t, ok)
	require.True(t, table.Leaving(id))
}

func TestSuspectsDoNotShareUpstreamAndStaleListIsNotUsed(t *testing.T) {
	table := NewTable(Options{Exact: true, MaxAge: 2 * time.Second})
	table.Update(start, replicas(2))
	router := NewRouter(table, LeastOutstanding{}, rand.New(rand.NewPCG(1, 2)))
	suspect := features()
	suspect.Suspect = true
	a, ok := router.Reserve(start, suspect)
	require.True(t, ok)
	b, ok := router.Reserve(start, suspect)
	require.True(t, ok)
	require.NotEqual(t, a, b)
	_, ok = router.Reserve(start, suspect)
	require.False(t, ok)

	_, ok = router.Reserve(start.Add(3*time.Second), features())
	require.False(t, ok, "a list that was not confirmed within MaxAge was used")
	awake := start.Add(3 * time.Second)
	table.Confirm(awake)
	_, ok = router.Reserve(awake, features())
	require.False(t, ok, "the list was used after the first confirmation, which may have been queued during a pause")
	table.Confirm(awake.Add(reconfirmTime - 1))
	_, ok = router.Reserve(awake.Add(reconfirmTime-1), features())
	require.False(t, ok, "a list that was confirmed again for less than reconfirmTime was used")
	table.Confirm(awake.Add(reconfirmTime))
	_, ok = router.Reserve(awake.Add(reconfirmTime), features())
	require.True(t, ok)
}

func benchTable(n int) (*Table, *Router, []*Features) {
	table := NewTable(Options{Exact: true, Overcommit: 8})
	list := replicas(n)
	for i := range list {
		list[i].Slots = 16
	}
	table.Update(start, list)
	router := NewRouter(table, CostPolicy{Weights: WeightsFor(0.5)}, rand.New(rand.NewPCG(1, 2)))
	random := rand.New(rand.NewPCG(3, 4))
	requests := make([]*Features, 256)
	for i := range requests {
		f := features()
		for b := range 12 {
			f.Blocks = append(f.Blocks, Block(i%32*1000+b))
		}
		f.PromptTokens = 3400
		requests[i] = f
	}
	for range n * 8 {
		_, _ = router.Reserve(start, requests[random.IntN(len(requests))])
	}
	return table, router, requests
}

// BenchmarkDecision reserves and releases a slot among 580 replicas.
func BenchmarkDecision(b *testing.B) {
	table, router, requests := benchTable(580)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		id, ok := router.Reserve(start, requests[i%len(requests)])
		if ok {
			table.RecordEnd(start, id, false, Outcome{Kind: OutcomeDone})
		}
	}
}

// BenchmarkDecisionP99 reports the 99th percentile of the time to choose among 580 replicas.
func BenchmarkDecisionP99(b *testing.B) {
	_, router, requests := benchTable(580)
	times := newSamples(b.N)
	for i := 0; b.Loop(); i++ {
		begin := time.Now()
		_, _ = router.Pick(start, requests[i%len(requests)])
		times.add(time.Since(begin))
	}
	b.ReportMetric(float64(times.quantile(0.99).Nanoseconds()), "p99-ns")
}
