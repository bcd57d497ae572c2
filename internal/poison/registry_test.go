package poison

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/verdict"
)

var start = time.Unix(1_000_000, 0)

// registryFromEvents returns a registry after random operations, with at most a few
// crashes per content.
func registryFromEvents(events []int) *Registry {
	r := NewRegistry()
	for _, e := range events {
		f := Fingerprint(e % 3)
		now := start.Add(time.Duration(e/7%40) * time.Second)
		upstream := ident.Upstream(fmt.Sprint("u", e/3%4))
		switch e % 10 {
		case 8:
			r.Clear(now, f)
		case 9:
			r.DismissCrashes(upstream, now, now)
		default:
			r.RecordCrash(now, f, upstream, e%10 == 7)
		}
	}
	return r
}

func mergeSnapshots(snapshots ...[]Entry) []Entry {
	r := NewRegistry()
	for _, s := range snapshots {
		r.Merge(s)
	}
	return r.Snapshot()
}

func TestMergeIsCommutativeAssociativeIdempotent(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(9)
	parameters.MinSuccessfulTests = 400
	properties := gopter.NewProperties(parameters)
	events := gen.SliceOfN(8, gen.IntRange(0, 999))
	properties.Property("merge", prop.ForAll(func(x, y, z []int) bool {
		a, b, c := registryFromEvents(x).Snapshot(), registryFromEvents(y).Snapshot(), registryFromEvents(z).Snapshot()
		ab := mergeSnapshots(a, b)
		return reflect.DeepEqual(ab, mergeSnapshots(b, a)) &&
			reflect.DeepEqual(mergeSnapshots(ab, c), mergeSnapshots(a, mergeSnapshots(b, c))) &&
			reflect.DeepEqual(mergeSnapshots(ab, ab, a), ab)
	}, events, events, events))
	properties.TestingRun(t)
}

func TestThreeCrashesQuarantineOnEveryNode(t *testing.T) {
	a, b := NewRegistry(), NewRegistry()
	f := FingerprintOf("m", "", "", "bad input")
	a.RecordCrash(start, f, "u1", false)
	a.RecordCrash(start, f, "u1", false)
	require.Equal(t, 1, a.Crashes(f), "one crash reported twice counts once")
	b.RecordCrash(start, f, "u2", false)
	b.RecordCrash(start.Add(time.Minute), f, "u1", false)
	require.Nil(t, b.Check(f))
	b.Merge(a.Snapshot())
	refusal := b.Check(f)
	require.NotNil(t, refusal)
	require.Equal(t, verdict.NotRun, refusal.Verdict)
	require.Equal(t, verdict.CodePoison, refusal.Code)
	require.Nil(t, b.Check(FingerprintOf("m", "", "", "other input")))

	require.True(t, b.Clear(start.Add(2*time.Minute), f))
	require.Nil(t, b.Check(f))
	b.Merge(a.Snapshot())
	require.Zero(t, b.Crashes(f), "a cleared crash does not return by merging")
}

func TestReclaimDoesNotCountAsCrash(t *testing.T) {
	r := NewRegistry()
	for i := range 20 {
		require.Zero(t, r.RecordCrash(start, 1, ident.Upstream(fmt.Sprint(i)), true))
	}
	r.RecordCrash(start, 1, "u1", false)
	r.DismissCrashes("u1", start.Add(-time.Second), start.Add(time.Second))
	require.Zero(t, r.Crashes(1))
	require.True(t, CausedByReclaim(start, start))
	require.False(t, CausedByReclaim(start, start.Add(time.Minute)), "long before the announced reclaim")
	require.False(t, CausedByReclaim(start, time.Time{}))
}

// However the runs of one content overlap, the gate lets it crash at most MaxCrashes
// upstreams, and content that has finished is not limited any more.
func TestGateBoundsCrashes(t *testing.T) {
	for seed := range uint64(200) {
		random := rand.New(rand.NewPCG(seed, 1))
		gate := NewGate(NewRegistry())
		var running []PassID
		crashes := 0
		now := start
		for i := range uint64(200) {
			now = now.Add(50 * time.Millisecond)
			id := PassID{Holder: ident.IncarnationHash(random.IntN(5)), Serial: i}
			if gate.Acquire(now, 1, id, time.Hour).Kind == AnswerPass {
				running = append(running, id)
			}
			if len(running) > 0 && random.IntN(3) == 0 {
				gate.Release(now, 1, running[0], ident.Upstream(fmt.Sprint("u", i)), EndingCrashed)
				running = running[1:]
				crashes++
			}
		}
		require.Equal(t, MaxCrashes, crashes, "seed %d", seed)
		require.Equal(t, AnswerRefuse, gate.Acquire(now, 1, PassID{Serial: 999}, 0).Kind)
	}
	gate := NewGate(NewRegistry())
	require.Equal(t, AnswerPass, gate.Acquire(start, 2, PassID{Serial: 1}, 0).Kind)
	gate.Release(start, 2, PassID{Serial: 1}, "u", EndingFinished)
	for i := range uint64(50) {
		require.Equal(t, AnswerPass, gate.Acquire(start, 2, PassID{Serial: i}, 0).Kind)
	}
}

func TestPassesExpireAndAreCountedOnce(t *testing.T) {
	gate := NewGate(NewRegistry())
	for range 5 {
		require.Equal(t, AnswerPass, gate.Acquire(start, 1, PassID{Serial: 1}, time.Second).Kind)
	}
	gate.Acquire(start, 1, PassID{Serial: 2}, time.Second)
	gate.Acquire(start, 1, PassID{Serial: 3}, time.Second)
	require.Equal(t, AnswerWait, gate.Acquire(start, 1, PassID{Serial: 4}, time.Second).Kind)
	require.Equal(t, AnswerPass, gate.Acquire(start.Add(2*time.Second), 1, PassID{Serial: 4}, time.Second).Kind)
}

// Foreign members run another protocol version, so they can't be asked for a pass.
func TestCoordinatorIsNotForeign(t *testing.T) {
	members := []membership.Member{{Node: "n1"}, {Node: "n2", Foreign: true}, {Node: "n3"}, {Node: "n4", Foreign: true}}
	for f := range Fingerprint(64) {
		chosen, found := Coordinator(f, "", members)
		require.True(t, found)
		require.False(t, chosen.Foreign)
	}
}

func TestSampleCoversAllContentsOverTime(t *testing.T) {
	r := NewRegistry()
	for f := range Fingerprint(300) {
		r.RecordCrash(start, f, "u1", false)
	}
	r.RecordCrash(start, 7, "u2", false)
	random := rand.New(rand.NewPCG(3, 3))
	seen := make(map[Fingerprint]bool)
	for range 200 {
		sample := r.Sample(4, 16, start.Add(-time.Minute), random)
		require.Len(t, sample, 17)
		require.Equal(t, Fingerprint(7), sample[0].Fingerprint, "the content with two crashes is always in the sample")
		for _, e := range sample {
			seen[e.Fingerprint] = true
		}
	}
	require.Len(t, seen, 300)
	require.Len(t, r.Sample(4, 16, start.Add(time.Minute), random), 1, "the others had no event after since")
}

func TestSuspectsDoNotEvictQuarantinedContent(t *testing.T) {
	r := NewRegistry()
	now := time.Unix(10_000, 0)
	quarantined := FingerprintOf("", "", "", "convicted")
	for _, upstream := range []ident.Upstream{"a", "b", "c"} {
		r.RecordCrash(now, quarantined, upstream, false)
	}
	for n := range 2 * maxEntries {
		r.RecordCrash(now.Add(time.Minute), FingerprintOf("", "", "", fmt.Sprint("in flight ", n)), "d", false)
	}
	require.NotNil(t, r.Check(quarantined))
}

func TestSuccessfulRunsDismissCrash(t *testing.T) {
	r := NewRegistry()
	r.RecordCrash(start, 1, "a", false)
	for run := range runsPerDismissal - 1 {
		require.Equal(t, 1, r.RecordSuccess(start, 1), "after %d runs", run)
	}
	require.Zero(t, r.RecordSuccess(start, 1))
}

func TestSimultaneousCrashesDoNotQuarantinePopularContent(t *testing.T) {
	r := NewRegistry()
	at := start
	for range 4 {
		for range runsPerDismissal {
			r.RecordSuccess(at, 1)
		}
		at = at.Add(time.Minute)
		for n := range 6 {
			require.Zero(t, r.RecordCrash(at.Add(time.Duration(n)*100*time.Millisecond), 1, ident.Upstream(fmt.Sprint(at, n)), false))
		}
	}
}

func TestPopularContentThatStartsToCrashIsQuarantined(t *testing.T) {
	r := NewRegistry()
	for range 10 * runsPerDismissal {
		r.RecordSuccess(start, 1)
	}
	for n := range 4 {
		r.RecordCrash(start.Add(time.Duration(n+1)*2*time.Second), 1, ident.Upstream(fmt.Sprint(n)), false)
	}
	require.NotNil(t, r.Check(1))
}

// Content that crashes a fraction of its upstreams is quarantined, for any fraction above
// one in runsPerDismissal.
func TestContentThatCrashesSomeUpstreamsIsQuarantined(t *testing.T) {
	for _, share := range []int{1, 2, 3, 5, 10} {
		for seed := range uint64(50) {
			random := rand.New(rand.NewPCG(seed, 19))
			r := NewRegistry()
			at := start
			for run := 0; r.Check(1) == nil; run++ {
				require.Less(t, run, 100*share, "share 1 in %d, seed %d", share, seed)
				at = at.Add(5 * time.Second)
				if random.IntN(share) == 0 {
					r.RecordCrash(at, 1, ident.Upstream(fmt.Sprint(run)), false)
					continue
				}
				r.RecordSuccess(at, 1)
			}
		}
	}
}

func TestQuarantineGrowsWithEachCrash(t *testing.T) {
	r := NewRegistry()
	at := start
	for n := range MaxCrashes {
		r.RecordCrash(at, 1, ident.Upstream(fmt.Sprint(n)), false)
	}
	for n := range maxKeptCrashes + 4 {
		wait := baseQuarantine << min(n, maxQuarantineDoublings)
		require.Empty(t, r.EndQuarantines(at.Add(wait-2*crashWindow)), "crash %d", n)
		at = at.Add(wait + crashWindow)
		require.Equal(t, []Fingerprint{1}, r.EndQuarantines(at))
		require.Nil(t, r.Check(1))
		r.RecordCrash(at, 1, ident.Upstream(fmt.Sprint("again ", n)), false)
		require.NotNil(t, r.Check(1), "the next crash quarantines it again")
	}
}
