package owner

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

const (
	testSlots      = 2
	testOvercommit = 1
)

var testHolder = ident.Incarnation("n1_0").Hash()

var start = time.Unix(1000, 0)

func upstreams(n int) []fleet.Upstream {
	out := make([]fleet.Upstream, n)
	for i := range out {
		out[i] = fleet.Upstream{
			ID: ident.Upstream(fmt.Sprintf("u%d", i)), URL: fmt.Sprintf("http://127.0.0.1:%d", 9000+i),
			FailureDomain: ident.FailureDomain(fmt.Sprintf("d%d", i%3)), Region: "r",
			Models: []ident.Model{"m"}, Slots: testSlots, State: fleet.StateReady,
		}
	}
	return out
}

func members(n int) []membership.Member {
	out := make([]membership.Member, n)
	for i := range out {
		node := ident.Node(fmt.Sprintf("n%d", i))
		out[i] = membership.Member{
			Incarnation: ident.Incarnation(node + "_0"), Node: node, Region: "r", PeerAddress: string(node),
			FailureDomain: ident.FailureDomain(fmt.Sprintf("d%d", i%3)),
		}
	}
	return out
}

func newLedger() *Ledger {
	l := NewLedger("n0", "d0", routing.LeastOutstanding{}, testOvercommit, rand.New(rand.NewPCG(1, 2)))
	l.Update(start, upstreams(6), members(1))
	return l
}

func args(serial uint64, hold time.Duration) *ReserveArgs {
	return &ReserveArgs{ID: ReservationID{Holder: testHolder, Serial: serial}, Model: "m", MaxTokens: 10, Hold: hold}
}

func TestOwnerIsInFailureDomainAndChangesOnlyOnItsLoss(t *testing.T) {
	all := members(9)
	list := upstreams(300)
	reduced := append([]membership.Member(nil), all...)
	reduced[4].State = membership.StateDead
	moved := 0
	for i := range list {
		a, ok := Of(&list[i], all)
		require.True(t, ok)
		require.Equal(t, list[i].FailureDomain, a.FailureDomain)
		b, ok := Of(&list[i], reduced)
		require.True(t, ok)
		require.NotEqual(t, ident.Node("n4"), b.Node)
		if a.Node != b.Node {
			require.Equal(t, ident.Node("n4"), a.Node, "only upstreams of the lost node get a new owner")
			moved++
		}
	}
	require.Positive(t, moved)
	single := members(1)
	single[0].FailureDomain = "elsewhere"
	_, ok := Of(&list[0], single)
	require.True(t, ok, "a member of another failure domain takes over")
	_, ok = Of(&list[0], nil)
	require.False(t, ok)
}

// Under any sequence of reservations, repeated calls, releases, expiries and lost
// holders, no upstream has more active requests than slots, the total stays within
// slots plus overcommit, and the count in flight equals the number of reservations.
func TestLedgerNeverExceedsLimit(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(5)
	parameters.MinSuccessfulTests = 300
	properties := gopter.NewProperties(parameters)
	properties.Property("limit", prop.ForAll(func(steps []int) bool {
		l := newLedger()
		now := start
		for _, s := range steps {
			now = now.Add(100 * time.Millisecond)
			l.Table().Confirm(now)
			switch {
			case s < 60:
				l.Reserve(now, args(uint64(s), 2*time.Second))
			case s < 90:
				l.Release(now, ReservationID{Holder: testHolder, Serial: uint64(s - 60)}, routing.Outcome{})
			case s == 90:
				l.ReleaseHolder(now, "n1_0")
			case s > 91:
				l.Renew(now, testHolder, []uint64{uint64(s - 92), uint64(s - 90)})
			default:
				l.Summaries(now)
			}
			count := l.Table().PoolUsage(now, routing.Pool{Model: "m"})
			for id, queue := range l.queues {
				if queue.active > testSlots || queue.active != activeAt(l, id) || len(queue.waiting) > 0 && queue.active < testSlots {
					return false
				}
			}
			if count.InFlight > 6*(testSlots+testOvercommit) || count.InFlight != l.ReservationCount() {
				return false
			}
		}
		return true
	}, gen.SliceOfN(150, gen.IntRange(0, 99))))
	properties.TestingRun(t)
}

// activeAt returns the number of reservations at an upstream that have a slot.
func activeAt(l *Ledger, id ident.Upstream) int {
	n := 0
	for _, r := range l.held {
		if r.upstream == id && !r.waiting {
			n++
		}
	}
	return n
}

func TestWaitingRequestsGetNextSlotByUrgency(t *testing.T) {
	l := NewLedger("n0", "d0", routing.LeastOutstanding{}, 2, rand.New(rand.NewPCG(1, 2)))
	l.Update(start, upstreams(1), members(1))
	reserve := func(serial uint64, urgency request.Urgency) ReserveReply {
		a := args(serial, time.Minute)
		a.Urgency = urgency
		return l.Reserve(start, a)
	}
	require.False(t, reserve(1, 5).Wait)
	require.False(t, reserve(2, 5).Wait)
	require.True(t, reserve(3, 1).Wait)
	require.True(t, reserve(4, 9).Wait)
	require.Equal(t, 1, reserve(3, 1).Ahead)
	require.Zero(t, reserve(4, 9).Ahead, "the more urgent request comes first")
	require.Zero(t, reserve(1, 5).Ahead, "it has a slot")
	last, first := reserve(3, 1), reserve(4, 9)
	require.Greater(t, last.PollInterval(), first.PollInterval(), "requests further back poll less often")
	require.False(t, reserve(5, 9).Granted)
	l.Release(start, ReservationID{Holder: testHolder, Serial: 1}, routing.Outcome{})
	require.True(t, reserve(3, 1).Wait)
	require.Zero(t, reserve(3, 1).Ahead, "no other request is waiting")
	require.False(t, reserve(4, 9).Wait, "the more urgent request has the slot")
	l.Table().MarkLeaving("u0")
	require.False(t, reserve(3, 1).Granted, "a request that waits at a leaving upstream loses its place")
	require.True(t, reserve(4, 9).Granted)
}

func TestReservationIsCountedOnceAndExpires(t *testing.T) {
	l := newLedger()
	first := l.Reserve(start, args(1, time.Second))
	require.True(t, first.Granted)
	require.NotEmpty(t, first.Upstream)
	require.Equal(t, first, l.Reserve(start, args(1, time.Second)))
	require.Equal(t, 1, l.ReservationCount())
	require.Equal(t, uint16(1), first.Summary.InFlight)
	require.Zero(t, l.Summaries(start.Add(2 * time.Second))[0].InFlight)
	require.False(t, l.Release(start, ReservationID{Holder: testHolder, Serial: 1}, routing.Outcome{}))
}

func TestFullOwnerRefusesAndSummaryShowsNoFreeSlot(t *testing.T) {
	l := newLedger()
	granted := 0
	for i := range uint64(100) {
		if l.Reserve(start, args(i, time.Minute)).Granted {
			granted++
		}
	}
	require.Equal(t, 6*(testSlots+testOvercommit), granted)
	summary := l.Summaries(start)[0]
	require.Zero(t, summary.Free())
	data := summary.Append(nil)
	require.Len(t, data, SummaryBytes)
	back, err := DecodeSummary(data)
	require.NoError(t, err)
	require.Equal(t, summary, back)
	_, err = DecodeSummary(data[:3])
	require.ErrorIs(t, err, ErrShortSummary)
}

func TestDirectoryPinsPrefixesAndAvoidsFullOwners(t *testing.T) {
	d := NewDirectory(members(1)[0], rand.New(rand.NewPCG(1, 2)))
	all := members(6)
	d.Update(upstreams(60), all)
	f := routing.Features{Model: "m", Blocks: []routing.Block{77}, PromptTokens: 4000, MaxTokens: 100}
	key := PoolKeyOf(f.Pool())
	for _, m := range all {
		d.RecordSummary(start, m.Incarnation, Summary{Pool: key, Slots: 20, InFlight: 10})
	}
	first, ok := d.Choose(start, &f)
	require.True(t, ok)
	again, ok := d.Choose(start, &f)
	require.True(t, ok)
	require.Equal(t, first, again)
	d.MarkFull(first.Owner, f.Pool(), start.Add(time.Second))
	other, ok := d.Choose(start, &f)
	require.True(t, ok)
	require.NotEqual(t, first, other)
	for _, m := range all {
		d.RecordSummary(start, m.Incarnation, Summary{Pool: key, Slots: 20, InFlight: 20 * maxFallbackUtilization})
	}
	_, ok = d.Choose(start, &f)
	require.False(t, ok, "the other owners have no room either")
}

func TestServiceOverTCP(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := peer.NewServer("secret")
	require.NoError(t, server.Register(ServiceName, NewService(newLedger(), func() time.Time { return start })))
	go func() { _ = server.Serve(listener, nil) }()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	defer func() { _ = server.Shutdown(ctx) }()
	link := peer.NewClient(peer.Dialer{Token: "secret"})
	defer link.Close()
	client := NewClient(link)

	reply, err := client.Reserve(ctx, listener.Addr().String(), args(1, time.Minute))
	require.NoError(t, err)
	require.True(t, reply.Granted)
	require.Equal(t, uint16(1), reply.Summary.InFlight)
	require.NoError(t, client.Release(ctx, listener.Addr().String(), ReservationID{Holder: testHolder, Serial: 1}, routing.Outcome{}))
}

// BenchmarkReserveOverTCP measures the latency of one reservation and its
// release.
func BenchmarkReserveOverTCP(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := peer.NewServer("secret")
	require.NoError(b, server.Register(ServiceName, NewService(newLedger(), func() time.Time { return start })))
	go func() { _ = server.Serve(listener, nil) }()
	defer func() { _ = server.Shutdown(context.Background()) }()
	link := peer.NewClient(peer.Dialer{Token: "secret"})
	defer link.Close()
	client := NewClient(link)
	ctx, cancel := context.WithTimeout(b.Context(), time.Minute)
	defer cancel()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		a := args(uint64(i), time.Minute)
		if _, err := client.Reserve(ctx, listener.Addr().String(), a); err != nil {
			b.Fatal(err)
		}
		if err := client.Release(ctx, listener.Addr().String(), a.ID, routing.Outcome{}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkChoose chooses among the 24 owners of 580 upstreams.
func BenchmarkChoose(b *testing.B) {
	d := NewDirectory(members(1)[0], rand.New(rand.NewPCG(1, 2)))
	d.Update(upstreams(580), members(24))
	f := routing.Features{Model: "m", Blocks: []routing.Block{77}, PromptTokens: 4000, MaxTokens: 100}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = d.Choose(start, &f)
	}
}

func TestReplyReportsCachedTokens(t *testing.T) {
	l := newLedger()
	args := &ReserveArgs{
		ID: ReservationID{Holder: testHolder, Serial: 1}, Model: "m", PromptTokens: 1000, MaxTokens: 10,
		Blocks: []routing.Block{1, 2, 3},
	}
	first := l.Reserve(start, args)
	require.True(t, first.Granted)
	require.Zero(t, first.CachedTokens, "the prefix was not sent before")
	require.True(t, l.Release(start, args.ID, routing.Outcome{Kind: routing.OutcomeDone}))
	for i := range 6 {
		id := ident.Upstream(fmt.Sprintf("u%d", i))
		l.Table().ApplyCacheEvents(start, id, []routing.CacheEvent{{Op: routing.CacheAdd, Block: 1}, {Op: routing.CacheAdd, Block: 2}})
		l.Table().ApplyCacheEvents(start, id, []routing.CacheEvent{{Op: routing.CacheRemove, Block: 3}})
	}
	args.ID.Serial++
	again := l.Reserve(start, args)
	require.True(t, again.Granted)
	require.Equal(t, 2*routing.BlockBytes/request.BytesPerToken, again.CachedTokens)
	require.Equal(t, again.CachedTokens, l.Reserve(start, args).CachedTokens, "a repeated call returns the same")
}
