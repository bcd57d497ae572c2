package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

const (
	// narrowWindow is the number of changes that documents keep in tests of the archive.
	narrowWindow = 4
	// archiveOperators is the number of concurrent operators; each resends some of its archiveChanges changes.
	archiveOperators = 4
	archiveChanges   = 15
)

// narrowCluster starts a cluster whose documents keep only narrowWindow changes.
func narrowCluster(t *testing.T, nodes int) *cluster {
	c := newCluster(t, 0, 1)
	c.window = narrowWindow
	for i := range nodes {
		c.start(ident.Node(fmt.Sprintf("n%d", i)), ident.FailureDomain(fmt.Sprintf("d%d", i%2)))
	}
	return c
}

// accept proposes p until the outcome is known, and requires that it is accepted.
func accept(t *testing.T, c *cluster, p Proposal) Outcome {
	t.Helper()
	for i := range 20 {
		outcome := c.nodes[i%len(c.nodes)].propose(t, p)
		if outcome.Kind != OutcomeUnknown {
			require.Equal(t, OutcomeAccepted, outcome.Kind, "%+v", outcome)
			return outcome
		}
	}
	t.Fatal("the outcome is still unknown after 20 attempts")
	return Outcome{}
}

// createdVersion returns the version that a change created, according to the document
// or the archive, or 0 when it was never applied.
func createdVersion(t *testing.T, n *testNode, change ident.Change) uint64 {
	t.Helper()
	d, err := n.manager.readCurrent(t.Context())
	require.NoError(t, err)
	if i := d.find(change); i >= 0 {
		return d.versionOf(i)
	}
	b, err := n.manager.archive.readBucket(t.Context(), bucketName(change))
	require.NoError(t, err)
	if found := b.find(change); found != nil {
		return found.Version
	}
	return 0
}

func TestResentChangeIsNotAppliedTwiceAfterItWasDropped(t *testing.T) {
	c := narrowCluster(t, 2)
	first := accept(t, c, setReplicas("first", 0, 1))
	for i := range 10 * narrowWindow {
		accept(t, c, setReplicas(fmt.Sprint("c", i), 0, 100+i))
	}
	d, err := c.nodes[0].manager.readCurrent(t.Context())
	require.NoError(t, err)
	require.True(t, d.Dropped)
	require.Less(t, d.find("first"), 0, "the document still lists the first change")
	require.LessOrEqual(t, len(d.Recent), maxWindowFactor*narrowWindow)

	resent := c.nodes[1].propose(t, setReplicas("first", 0, 1))
	require.Equal(t, first, resent)
	reusedID := c.nodes[0].propose(t, setReplicas("first", 0, 2))
	require.Equal(t, OutcomeRefused, reusedID.Kind, "one ID was accepted for two different changes: %+v", reusedID)
	late := c.nodes[0].propose(t, setReplicas("late", first.Version, 2))
	require.Equal(t, OutcomeConflict, late.Kind, "%+v", late)
	require.Contains(t, late.Reason, "only the latest")
	fresh := c.nodes[0].propose(t, setReplicas("never seen", 0, 7))
	require.Equal(t, OutcomeRefused, fresh.Kind, "a change with an invalid ID was not refused: %+v", fresh)
	require.Equal(t, OutcomeAccepted, c.nodes[0].propose(t, setReplicas("fresh", 0, 7)).Kind)
	after, err := c.nodes[0].manager.readCurrent(t.Context())
	require.NoError(t, err)
	require.Equal(t, d.Site.Version, after.Recent[len(after.Recent)-1].Base, "not exactly one change was applied since")
	require.Equal(t, 7, after.Site.Models[0].Replicas)
}

func TestResentChangesAreAppliedOnceUnderFaults(t *testing.T) {
	c := narrowCluster(t, 3)
	injectStoreFaults(c.platform)
	stop := make(chan struct{})
	var operators, observers sync.WaitGroup
	bases := make([]map[ident.Change]uint64, len(c.nodes))
	for i, n := range c.nodes {
		observers.Go(func() { bases[i] = observeBases(t, n, stop) })
	}
	outcomes := make([]map[ident.Change]Outcome, archiveOperators)
	for o := range archiveOperators {
		operators.Go(func() { outcomes[o] = resend(t, c, o) })
	}
	operators.Wait()
	c.platform.ClearFaults()
	close(stop)
	observers.Wait()

	versions := make(map[uint64]ident.Change)
	accepted := 0
	for o := range archiveOperators {
		for i := range archiveChanges {
			change := ident.Change(fmt.Sprintf("o%d-%d", o, i))
			version := createdVersion(t, c.nodes[0], change)
			if outcome, ok := outcomes[o][change]; ok {
				accepted++
				require.Equal(t, outcome.Version, version, "%s was reported as accepted with another version", change)
			}
			if version == 0 {
				continue
			}
			require.Empty(t, versions[version], "%s created the same version as another change", change)
			versions[version] = change
		}
	}
	d, err := c.nodes[0].manager.readCurrent(t.Context())
	require.NoError(t, err)
	require.True(t, d.Dropped)
	seen := make(map[ident.Change]uint64)
	for _, listed := range bases {
		for change, base := range listed {
			before, known := seen[change]
			require.True(t, !known || before == base, "%s was applied twice", change)
			seen[change] = base
		}
	}
	require.Greater(t, 2*len(seen), len(versions), "too few changes were observed")
	t.Logf("%d of %d changes accepted, %d versions", accepted, archiveOperators*archiveChanges, len(versions))
	require.Positive(t, accepted)
}

// observeBases records, until stop, the base version of each change that a node lists.
func observeBases(t *testing.T, n *testNode, stop <-chan struct{}) map[ident.Change]uint64 {
	out := make(map[ident.Change]uint64)
	for {
		for _, r := range n.manager.RecentChanges() {
			if base, known := out[r.Change]; known && base != r.Base {
				t.Errorf("%s was applied to version %d and to version %d", r.Change, base, r.Base)
			}
			out[r.Change] = r.Base
		}
		select {
		case <-stop:
			return out
		case <-time.After(time.Millisecond):
		}
	}
}

// resend sends changes and, after each, a randomly chosen one of them again. It returns
// the accepted outcomes and checks that no later response contradicts them.
func resend(t *testing.T, c *cluster, operator int) map[ident.Change]Outcome {
	random := rand.New(rand.NewPCG(7, uint64(operator)))
	accepted := make(map[ident.Change]Outcome)
	for i := range archiveChanges {
		for _, k := range []int{i, random.IntN(i + 1)} {
			p := setReplicas(fmt.Sprintf("o%d-%d", operator, k), 0, 100*operator+k)
			ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
			outcome, err := c.nodes[random.IntN(len(c.nodes))].manager.Propose(ctx, p)
			cancel()
			if err != nil || outcome.Kind == OutcomeUnknown {
				continue
			}
			before, ok := accepted[p.Change]
			if outcome.Kind != OutcomeAccepted || (ok && before.Version != outcome.Version) {
				t.Errorf("%s has outcome %+v, but before that %+v", p.Change, outcome, before)
			}
			accepted[p.Change] = outcome
		}
	}
	return accepted
}

func TestFullBucketEvictsItsOldestChangeAndRecordsIt(t *testing.T) {
	b := &bucket{}
	longest := func(i int) ident.Change { return ident.Change(fmt.Sprintf("%064d", i)) }
	for i := range maxBucketChanges {
		b.Changes = append(b.Changes, archivedChange{Change: longest(i), Digest: 1<<64 - 1, Version: 1 << 40})
	}
	object, err := encodeBucket("changes-000", b)
	require.NoError(t, err)
	require.Less(t, len(object.Spec), MaxDocumentBytes)
	full := b.withChange(archivedChange{Change: "next"})
	require.Len(t, full.Changes, maxBucketChanges)
	require.True(t, full.Evicted)
	require.Nil(t, full.find(longest(0)))
	require.NotNil(t, full.find("next"))
	require.False(t, b.Evicted, "the original bucket was modified")
	require.Less(t, MaxDocumentBytes, objects.MaxObjectBytes)
}

// siteOfWorkspaces returns a site with n workspaces.
func siteOfWorkspaces(n int) *Site {
	site := &Site{}
	for i := range n {
		site.Workspaces = append(site.Workspaces, Workspace{Name: ident.Workspace(fmt.Sprintf("w%060d", i)), Share: 1})
	}
	return site
}

func TestDocumentTooLargeForTheStoreIsRefused(t *testing.T) {
	c := newCluster(t, 1, 1)
	refused := c.nodes[0].propose(t, Proposal{Change: "c1", Edits: []Edit{{Replace: siteOfWorkspaces(20000)}}})
	require.Equal(t, OutcomeRefused, refused.Kind, "%+v", refused)
	require.Equal(t, "site", refused.Faults[0].Path)
}

func TestEditThatMakesTheDocumentTooLargeIsRefused(t *testing.T) {
	site := siteOfWorkspaces(1)
	for checkSize(&Document{Site: *site}) == nil {
		site.Workspaces = append(site.Workspaces, siteOfWorkspaces(len(site.Workspaces) + 500).Workspaces[len(site.Workspaces):]...)
	}
	site.Workspaces = site.Workspaces[:len(site.Workspaces)-500]
	var edits []Edit
	for i := range 500 {
		edits = append(edits, Edit{Table: TableWorkspace, Key: fmt.Sprintf("x%060d", i), Assignments: []Assignment{{"share", "1"}}})
	}
	proposal := &Proposal{Change: "c1", Edits: edits}
	require.Empty(t, staticFaults(proposal))
	a := &attempt{proposal: proposal, window: narrowWindow, current: &Document{Site: *site}, fresh: true}
	refused := a.nextStep().outcome
	require.NotNil(t, refused)
	require.Equal(t, OutcomeRefused, refused.Kind)
	require.Equal(t, "site", refused.Faults[0].Path)
}

// BenchmarkBeyondTheWindow measures the store calls per change, without and with a
// base version, when older changes have been dropped from the document.
func BenchmarkBeyondTheWindow(b *testing.B) {
	for _, based := range []bool{false, true} {
		b.Run(fmt.Sprintf("based=%t", based), func(b *testing.B) {
			c := newCluster(b, 0, 1)
			c.window = narrowWindow
			n := c.start("n0", "d0")
			version := uint64(0)
			count := 0
			change := func() {
				count++
				p := setReplicas(fmt.Sprint("c", count), 0, count%100)
				if based {
					p.BaseVersion = version
				}
				outcome := n.propose(b, p)
				require.Equal(b, OutcomeAccepted, outcome.Kind, "%+v", outcome)
				version = outcome.Version
				n.waitVersion(b, version)
				require.Eventually(b, func() bool { return !n.manager.archiving.Load() }, eventTimeout, time.Millisecond)
			}
			for range 4 * narrowWindow {
				change()
			}
			before := n.store.Budget().Calls()
			for b.Loop() {
				change()
			}
			b.ReportMetric(float64(n.store.Budget().Calls()-before)/float64(b.N), "storecalls/change")
		})
	}
}
