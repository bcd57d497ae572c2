package explain

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
)

var dispatched = Decision{Name: "dispatched", Sentence: "Sent to upstream {upstream}, which had {running} requests running."}

// steppingClock returns a clock that starts at Unix time start and advances by a second
// before each reading.
func steppingClock(start int64) func() time.Time {
	return func() time.Time {
		start++
		return time.Unix(start, 0)
	}
}

func TestEntryHoldsSentenceNodeAndInputs(t *testing.T) {
	journal := NewJournal("n1_0123456789abcdef", 64, steppingClock(0))
	journal.Record(KindRequest, "r1", &dispatched, Text("upstream", "u1"), Number("running", 3))
	journal.Record(KindRequest, "r2", &dispatched, Text("upstream", "u2"), Number("running", 4))
	entries := journal.Lookup(Subject{Kind: KindRequest, ID: "r1"})
	require.Len(t, entries, 1)
	require.Equal(t, "Sent to upstream u1, which had 3 requests running.", entries[0].Sentence())
	require.Equal(t, "upstream=u1 running=3", entries[0].InputsText())
	require.EqualValues(t, "n1_0123456789abcdef", entries[0].Node)
	require.Empty(t, journal.Lookup(Subject{Kind: KindHost, ID: "r1"}))
}

func TestJournalIsBoundedAndDropsTheOldest(t *testing.T) {
	journal := NewJournal("n1", shardCount*4, steppingClock(0))
	journal.Record(KindHost, "h1", &dispatched)
	for i := range 100 {
		journal.Record(KindRequest, "same", &dispatched, Number("running", i))
	}
	entries := journal.Lookup(Subject{Kind: KindRequest, ID: "same"})
	require.Len(t, entries, 4)
	for i, entry := range entries {
		require.Equal(t, fmt.Sprintf("running=%d", 96+i), entry.InputsText())
	}
	require.Len(t, journal.Lookup(Subject{Kind: KindHost, ID: "h1"}), 1, "requests must not evict hosts")
}

func TestRequestDecisionsHaveSentences(t *testing.T) {
	journal := NewJournal("n1", 64, steppingClock(0))
	id := ident.RequestID{Home: "n1_0123456789abcdef", Witness: "n2_0123456789abcdef", Random: "aaaaaaaaaaaaaaaa"}
	journal.Request(id, "dispatch", "to e1")
	journal.Request(id, "new decision", "as it is")
	entries := journal.Lookup(Subject{Kind: KindRequest, ID: id.String()})
	require.Len(t, entries, 2)
	require.Equal(t, "The request was sent to e1.", entries[0].Sentence())
	require.True(t, entries[0].IsReasonOnly())
	require.Equal(t, "as it is", entries[1].Sentence())
	var none *Journal
	none.Request(id, "dispatch", "to e1")
}

func TestInputsBeyondMaximumAreDropped(t *testing.T) {
	journal := NewJournal("n1", 64, steppingClock(0))
	inputs := make([]Input, MaxInputs+3)
	journal.Record(KindChange, "c", &dispatched, inputs...)
	require.Len(t, journal.Lookup(Subject{Kind: KindChange, ID: "c"})[0].Inputs, MaxInputs)
}

// fakeView is a list of members.
type fakeView []membership.Member

func (v fakeView) Self() membership.Member      { return v[0] }
func (v fakeView) Members() []membership.Member { return v }
func (v fakeView) Lookup(ident.Incarnation) (membership.Member, bool) {
	return membership.Member{}, false
}

// fakeCaller looks entries up in the journal at an address; a call to an address without
// one fails.
type fakeCaller map[string]*Journal

func (c fakeCaller) Call(_ context.Context, address, _ string, args, reply any) error {
	journal, ok := c[address]
	if !ok {
		return errors.New("silent")
	}
	return NewService(journal).Lookup(args.(*LookupRequest), reply.(*LookupReply))
}

func TestCollectorMergesEntriesOfAllNodesInOrder(t *testing.T) {
	own := NewJournal("n1_0123456789abcdef", 64, steppingClock(10))
	other := NewJournal("n2_0123456789abcdef", 64, steppingClock(5))
	own.Record(KindUpstream, "u1", &dispatched, Text("upstream", "late"))
	other.Record(KindUpstream, "u1", &dispatched, Text("upstream", "early"))
	view := fakeView{
		{Incarnation: "n1_0123456789abcdef", Node: "n1", PeerAddress: "a1"},
		{Incarnation: "n2_0123456789abcdef", Node: "n2", PeerAddress: "a2"},
		{Incarnation: "n3_0123456789abcdef", Node: "n3", PeerAddress: "a3"},
		{Incarnation: "n4_0123456789abcdef", Node: "n4", PeerAddress: "a4", State: membership.StateDead},
	}
	collector := NewCollector(own, view, fakeCaller{"a2": other})
	report, err := collector.Explain(t.Context(), Subject{Kind: KindUpstream, ID: "u1"})
	require.NoError(t, err)
	require.Len(t, report.Entries, 2)
	require.Equal(t, "upstream=early", report.Entries[0].InputsText())
	require.Equal(t, "upstream=late", report.Entries[1].InputsText())
	require.Equal(t, []ident.Node{"n3"}, report.Unresponsive)
}

func TestHomeAndWitnessAreAskedFirst(t *testing.T) {
	view := fakeView{{Incarnation: "self_0123456789abcdef"}}
	for i := range 100 {
		view = append(view, membership.Member{Incarnation: ident.Incarnation(fmt.Sprintf("m%d_0123456789abcdef", i))})
	}
	collector := NewCollector(NewJournal("self", 64, time.Now), view, fakeCaller{})
	asked, notAsked := collector.nodesToAsk(Subject{Kind: KindRequest, ID: "m99_0123456789abcdef.m98_0123456789abcdef.aaaaaaaaaaaaaaaa"})
	require.Equal(t, 100-maxNodesAsked, notAsked)
	require.ElementsMatch(t, []ident.Incarnation{"m98_0123456789abcdef", "m99_0123456789abcdef"}, []ident.Incarnation{asked[0].Incarnation, asked[1].Incarnation})
}

func BenchmarkRecord(b *testing.B) {
	journal := NewJournal("n1", DefaultCapacity, time.Now)
	ids := make([]string, 1024)
	for i := range ids {
		ids[i] = fmt.Sprintf("n1_0123456789abcdef.n2_0123456789abcdef.%016d", i)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		i := 0
		for pb.Next() {
			journal.Record(KindRequest, ids[i%len(ids)], &dispatched, Text("upstream", "u1"), Number("running", 3), Text("why", "prefix"))
			i++
		}
	})
}
