package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

const (
	historyNodes     = 4
	historyOperators = 6
	historyChanges   = 12
	historyResends   = 3
	historySeeds     = 3
	checkTimeout     = 5 * time.Minute
)

// history is the changes accepted so far, oldest first; version i+1 is made by the i-th.
type history []ident.Change

// changeModel is the specification: a list of changes, each there at most once.
func changeModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{history{}} },
		Step: func(state, input, output any) []any {
			return stepHistory(state.(history), input.(Proposal), output.(Outcome))
		},
		Equal: func(a, b any) bool { return slices.Equal(a.(history), b.(history)) },
	}
	return model.ToModel()
}

func stepHistory(h history, p Proposal, o Outcome) []any {
	at := slices.Index(h, p.Change)
	fits := at < 0 && (p.BaseVersion == 0 || p.BaseVersion == uint64(len(h)))
	taken := append(slices.Clone(h), p.Change)
	switch o.Kind {
	case OutcomeAccepted:
		if at >= 0 && o.Version == uint64(at+1) {
			return []any{h}
		}
		if fits && o.Version == uint64(len(taken)) {
			return []any{taken}
		}
		return nil
	case OutcomeConflict:
		if at < 0 && p.BaseVersion < uint64(len(h)) && o.Won[0].Change == h[p.BaseVersion] {
			return []any{h}
		}
		return nil
	case OutcomeRefused:
		if at < 0 {
			return []any{h}
		}
		return nil
	case OutcomeUnknown:
		if fits {
			return []any{h, taken}
		}
		return []any{h}
	}
	return nil
}

// recorder collects the operations of concurrent operators.
type recorder struct {
	mu         sync.Mutex
	began      time.Time
	operations []porcupine.Operation
}

func (r *recorder) propose(ctx context.Context, t *testing.T, client int, n *testNode, p Proposal) Outcome {
	call := time.Since(r.began).Nanoseconds()
	outcome, err := n.manager.Propose(ctx, p)
	require.NoError(t, err)
	end := time.Since(r.began).Nanoseconds()
	if outcome.Kind == OutcomeUnknown {
		end = time.Hour.Nanoseconds() // it may take effect at any later time
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{ClientId: client, Input: p, Output: outcome, Call: call, Return: end})
	return outcome
}

func storeFaults(s *platform.Server) {
	objects := platform.ServiceObjects
	for _, f := range []platform.Fault{
		{Service: objects, Kind: platform.FaultLostAnswer, Verb: "update", Probability: 0.25},
		{Service: objects, Kind: platform.FaultLostAnswer, Verb: "create", Probability: 0.5},
		{Service: objects, Kind: platform.FaultHang, Verb: "update", Probability: 0.03},
		{Service: objects, Kind: platform.FaultOutage, Verb: "update", Probability: 0.1},
		{Service: objects, Kind: platform.FaultStaleRead, Probability: 0.4, Behind: 3},
		{Service: objects, Kind: platform.FaultDropWatch, Probability: 0.05},
	} {
		s.AddFault(f)
	}
}

func TestHistoryOfConcurrentOperatorsUnderFaults(t *testing.T) {
	for seed := range uint64(historySeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkHistory(t, seed) })
	}
}

func checkHistory(t *testing.T, seed uint64) {
	c := newCluster(t, historyNodes, 2)
	storeFaults(c.platform)
	r := &recorder{began: time.Now()}
	stop := make(chan struct{})
	var watching, operating sync.WaitGroup
	seen := make([][]Site, historyNodes)
	for i, n := range c.nodes {
		watching.Go(func() { seen[i] = observe(n, stop) })
	}
	for o := range historyOperators {
		operating.Go(func() { operate(t, r, c, o, rand.New(rand.NewPCG(seed, uint64(o)))) })
	}
	operating.Wait()
	c.platform.ClearFaults()
	meet(t, r, c)
	final, err := c.nodes[0].manager.read(t.Context())
	require.NoError(t, err)
	for _, n := range c.nodes {
		n.waitVersion(t, final.Site.Version)
	}
	close(stop)
	watching.Wait()
	checkViews(t, final, seen)
	checkOutcomes(t, final, r.operations)
}

// meet lets two operators meet on one version, so that every history has a conflict.
func meet(t *testing.T, r *recorder, c *cluster) {
	current, err := c.nodes[0].manager.read(t.Context())
	require.NoError(t, err)
	for i := range 2 {
		r.propose(t.Context(), t, historyOperators+i, c.nodes[i], setReplicas(fmt.Sprintf("meet-%d", i), current.Site.Version, i))
	}
}

// operate makes one operator's changes, each sent again to some node while it is unknown.
func operate(t *testing.T, r *recorder, c *cluster, operator int, random *rand.Rand) {
	for i := range historyChanges {
		base := uint64(0)
		n := c.nodes[random.IntN(len(c.nodes))]
		if site := n.manager.Current(); site != nil && random.IntN(2) == 0 {
			base = site.Version
		}
		p := setReplicas(fmt.Sprintf("c%d-%d", operator, i), base, random.IntN(100))
		for range historyResends {
			ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
			outcome := r.propose(ctx, t, operator, n, p)
			cancel()
			if outcome.Kind != OutcomeUnknown {
				break
			}
			n = c.nodes[random.IntN(len(c.nodes))]
		}
	}
}

// observe notes each version that a node has in force until stop.
func observe(n *testNode, stop <-chan struct{}) []Site {
	var out []Site
	for {
		site := n.manager.Current()
		if site != nil && (len(out) == 0 || site.Version != out[len(out)-1].Version) {
			out = append(out, *site)
		}
		select {
		case <-stop:
			return out
		case <-time.After(time.Millisecond):
		}
	}
}

// checkViews checks that no node went backwards or had something in force that was never accepted.
func checkViews(t *testing.T, final *Document, seen [][]Site) {
	for node, sites := range seen {
		last := uint64(0)
		for _, site := range sites {
			require.Greater(t, site.Version, last, "node %d went backwards", node)
			last = site.Version
			at := final.find(site.Change)
			require.GreaterOrEqual(t, at, 0, "node %d had a change in force that was reverted", node)
			require.Equal(t, final.versionOf(at), site.Version)
		}
	}
}

func checkOutcomes(t *testing.T, final *Document, operations []porcupine.Operation) {
	kinds := make(map[OutcomeKind]int)
	var settled []porcupine.Operation
	for _, op := range operations {
		outcome := op.Output.(Outcome)
		kinds[outcome.Kind]++
		if op, effect := settleUnknown(final, op); effect {
			settled = append(settled, op)
		}
		if outcome.Kind == OutcomeAccepted {
			at := final.find(outcome.Change)
			require.GreaterOrEqual(t, at, 0, "accepted and not there: %s", outcome.Change)
			require.Equal(t, final.versionOf(at), outcome.Version)
		}
	}
	t.Logf("%d operations: %v; final version %d", len(operations), kinds, final.Site.Version)
	require.Positive(t, kinds[OutcomeAccepted])
	require.Positive(t, kinds[OutcomeConflict])
	result := porcupine.CheckOperationsTimeout(changeModel(), settled, checkTimeout)
	require.Equal(t, porcupine.Ok, result)
}

// settleUnknown replaces an unknown outcome by what the final document shows: the
// change was accepted at any time after it was sent, or had no effect at all. That
// keeps the check's work small, however many outcomes a busy machine leaves open.
func settleUnknown(final *Document, op porcupine.Operation) (porcupine.Operation, bool) {
	outcome := op.Output.(Outcome)
	if outcome.Kind != OutcomeUnknown {
		return op, true
	}
	at := final.find(outcome.Change)
	if at < 0 {
		return op, false
	}
	op.Output = Outcome{Kind: OutcomeAccepted, Change: outcome.Change, Version: final.versionOf(at)}
	return op, true
}

func TestHistoryCheckCatchesAFalseAcceptedAndAFalseConflict(t *testing.T) {
	op := func(change string, base uint64, at int64, o Outcome) porcupine.Operation {
		return porcupine.Operation{Input: setReplicas(change, base, 1), Output: o, Call: at, Return: at + 1}
	}
	first := op("a", 0, 1, Outcome{Kind: OutcomeAccepted, Version: 1})
	second := op("b", 1, 3, Outcome{Kind: OutcomeAccepted, Version: 2})
	falseAccepted := op("c", 1, 5, Outcome{Kind: OutcomeAccepted, Version: 3})
	falseConflict := op("a", 0, 5, Outcome{Kind: OutcomeConflict, Won: []ChangeRecord{{Change: "a"}}})
	check := func(ops ...porcupine.Operation) bool { return porcupine.CheckOperations(changeModel(), ops) }
	require.True(t, check(first, second))
	require.False(t, check(first, second, falseAccepted))
	require.False(t, check(first, second, falseConflict))
}
