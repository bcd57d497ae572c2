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
	// historyResends is how often a change is sent at most, while its outcome is unknown.
	historyResends = 3
	historySeeds   = 3
	// checkTimeout limits the time of the linearizability check of one history.
	checkTimeout = 5 * time.Minute
)

// history is the changes accepted so far, oldest first; the change at index i created version i+1.
type history []ident.Change

// changeModel is the specification: a list of changes in which each change occurs at most once.
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

// stepHistory returns the possible histories after proposal p had outcome o; none when
// the specification does not allow o.
func stepHistory(h history, p Proposal, o Outcome) []any {
	at := slices.Index(h, p.Change)
	applicable := at < 0 && (p.BaseVersion == 0 || p.BaseVersion == uint64(len(h)))
	applied := append(slices.Clone(h), p.Change)
	switch o.Kind {
	case OutcomeAccepted:
		if at >= 0 && o.Version == uint64(at+1) {
			return []any{h}
		}
		if applicable && o.Version == uint64(len(applied)) {
			return []any{applied}
		}
		return nil
	case OutcomeConflict:
		if at < 0 && p.BaseVersion < uint64(len(h)) && o.ConflictingChanges[0].Change == h[p.BaseVersion] {
			return []any{h}
		}
		return nil
	case OutcomeRefused:
		if at < 0 {
			return []any{h}
		}
		return nil
	case OutcomeUnknown:
		if applicable {
			return []any{h, applied}
		}
		return []any{h}
	}
	return nil
}

// recorder records the operations of concurrent operators.
type recorder struct {
	mu         sync.Mutex
	started    time.Time
	operations []porcupine.Operation
}

// propose sends a proposal and records it with its outcome.
func (r *recorder) propose(ctx context.Context, t *testing.T, client int, n *testNode, p Proposal) Outcome {
	call := time.Since(r.started).Nanoseconds()
	outcome, err := n.manager.Propose(ctx, p)
	require.NoError(t, err)
	end := time.Since(r.started).Nanoseconds()
	if outcome.Kind == OutcomeUnknown {
		end = time.Hour.Nanoseconds() // it may still take effect later
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.operations = append(r.operations, porcupine.Operation{ClientId: client, Input: p, Output: outcome, Call: call, Return: end})
	return outcome
}

// injectStoreFaults injects lost responses, hangs, outages, stale reads and broken watches of the store.
func injectStoreFaults(s *platform.Server) {
	objects := platform.ServiceObjects
	for _, f := range []platform.Fault{
		{Service: objects, Kind: platform.FaultLostResponse, Verb: "update", Probability: 0.25},
		{Service: objects, Kind: platform.FaultLostResponse, Verb: "create", Probability: 0.5},
		{Service: objects, Kind: platform.FaultHang, Verb: "update", Probability: 0.03},
		{Service: objects, Kind: platform.FaultOutage, Verb: "update", Probability: 0.1},
		{Service: objects, Kind: platform.FaultStaleRead, Probability: 0.4, VersionsBehind: 3},
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

// checkHistory runs concurrent operators under faults and checks what the nodes had in
// force and what the operators were told.
func checkHistory(t *testing.T, seed uint64) {
	c := newCluster(t, historyNodes, 2)
	injectStoreFaults(c.platform)
	r := &recorder{started: time.Now()}
	stop := make(chan struct{})
	var observers, operators sync.WaitGroup
	seen := make([][]Site, historyNodes)
	for i, n := range c.nodes {
		observers.Go(func() { seen[i] = observe(n, stop) })
	}
	for o := range historyOperators {
		operators.Go(func() { operate(t, r, c, o, rand.New(rand.NewPCG(seed, uint64(o)))) })
	}
	operators.Wait()
	c.platform.ClearFaults()
	proposeConflicting(t, r, c)
	final, err := c.nodes[0].manager.read(t.Context())
	require.NoError(t, err)
	for _, n := range c.nodes {
		n.waitVersion(t, final.Site.Version)
	}
	close(stop)
	observers.Wait()
	checkViews(t, final, seen)
	checkOutcomes(t, final, r.operations)
}

// proposeConflicting sends two proposals with the same base version, so that every
// history contains a conflict.
func proposeConflicting(t *testing.T, r *recorder, c *cluster) {
	current, err := c.nodes[0].manager.read(t.Context())
	require.NoError(t, err)
	for i := range 2 {
		r.propose(t.Context(), t, historyOperators+i, c.nodes[i], setReplicas(fmt.Sprintf("meet-%d", i), current.Site.Version, i))
	}
}

// operate sends one operator's changes. A change with an unknown outcome is resent to a
// randomly chosen node.
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

// observe records, until stop, each version that a node has in force.
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

// checkViews checks that no node went back to an earlier version or had a change in
// force that is not in the final document.
func checkViews(t *testing.T, final *Document, seen [][]Site) {
	for node, sites := range seen {
		last := uint64(0)
		for _, site := range sites {
			require.Greater(t, site.Version, last, "node %d went back to an earlier version", node)
			last = site.Version
			at := final.find(site.Change)
			require.GreaterOrEqual(t, at, 0, "node %d had a change in force that was reverted", node)
			require.Equal(t, final.versionOf(at), site.Version)
		}
	}
}

// checkOutcomes checks accepted outcomes against the final document, and the whole
// history against changeModel.
func checkOutcomes(t *testing.T, final *Document, operations []porcupine.Operation) {
	kinds := make(map[OutcomeKind]int)
	var resolved []porcupine.Operation
	for _, op := range operations {
		outcome := op.Output.(Outcome)
		kinds[outcome.Kind]++
		if op, effect := resolveUnknown(final, op); effect {
			resolved = append(resolved, op)
		}
		if outcome.Kind == OutcomeAccepted {
			at := final.find(outcome.Change)
			require.GreaterOrEqual(t, at, 0, "accepted but missing: %s", outcome.Change)
			require.Equal(t, final.versionOf(at), outcome.Version)
		}
	}
	t.Logf("%d operations: %v; final version %d", len(operations), kinds, final.Site.Version)
	require.Positive(t, kinds[OutcomeAccepted])
	require.Positive(t, kinds[OutcomeConflict])
	result := porcupine.CheckOperationsTimeout(changeModel(), resolved, checkTimeout)
	require.Equal(t, porcupine.Ok, result)
}

// resolveUnknown replaces an unknown outcome with what the final document shows: the
// change was accepted at some time after it was sent, or had no effect (false). This
// keeps the linearizability check small when a busy machine leaves many outcomes unknown.
func resolveUnknown(final *Document, op porcupine.Operation) (porcupine.Operation, bool) {
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

func TestHistoryCheckDetectsFalseAcceptedAndFalseConflict(t *testing.T) {
	op := func(change string, base uint64, at int64, o Outcome) porcupine.Operation {
		return porcupine.Operation{Input: setReplicas(change, base, 1), Output: o, Call: at, Return: at + 1}
	}
	first := op("a", 0, 1, Outcome{Kind: OutcomeAccepted, Version: 1})
	second := op("b", 1, 3, Outcome{Kind: OutcomeAccepted, Version: 2})
	falseAccepted := op("c", 1, 5, Outcome{Kind: OutcomeAccepted, Version: 3})
	falseConflict := op("a", 0, 5, Outcome{Kind: OutcomeConflict, ConflictingChanges: []ChangeRecord{{Change: "a"}}})
	check := func(ops ...porcupine.Operation) bool { return porcupine.CheckOperations(changeModel(), ops) }
	require.True(t, check(first, second))
	require.False(t, check(first, second, falseAccepted))
	require.False(t, check(first, second, falseConflict))
}
