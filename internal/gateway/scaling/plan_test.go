package scaling

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/lease"
)

var testScaling = site.Scaling{
	Min: 1, Max: 6, BootTime: 4 * time.Second, ReclaimablePrice: 0.2,
	DomainPrices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1.0},
}

func totals(list []Order) (onDemand, reclaimable int) {
	for _, o := range list {
		if o.Reclaimable {
			reclaimable += o.Count
			continue
		}
		onDemand += o.Count
	}
	return onDemand, reclaimable
}

func TestReclaimableUpstreamsCoverTheDemandWhileAvailable(t *testing.T) {
	in := Inputs{Scaling: testScaling, PrefillDemand: 60_000, Measured: true}
	for _, name := range []string{"a", "b", "c"} {
		in.Domains = append(in.Domains, Domain{Name: name, Reclaimable: 3})
	}
	onDemand, reclaimable := totals(Plan(in))
	require.Zero(t, onDemand)
	require.Greater(t, reclaimable, neededUpstreams(in))
}

func TestFastEnginesNeedFewerUpstreams(t *testing.T) {
	in := Inputs{Scaling: testScaling, PrefillDemand: 600_000, Measured: true, Domains: []Domain{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
	unknown := neededUpstreams(in)
	needed := func(ratio float64) int { in.LatencyRatio = ratio; return neededUpstreams(in) }
	require.Equal(t, unknown, needed(loadedLatencyRatio), "at the target load")
	require.Equal(t, unknown, needed(3), "slow engines")
	require.InDelta(t, 0.75*float64(unknown), needed(0.75*loadedLatencyRatio), 1)
	require.InDelta(t, minSpeedFactor*float64(unknown), needed(0.1), 1, "the least")
}

func testInputs() Inputs {
	return Inputs{Scaling: testScaling, PrefillDemand: 600_000, Measured: true, Domains: []Domain{{Name: "a"}, {Name: "b"}, {Name: "c"}}}
}

func TestMeasuredSpeedSetsTheNumberOfUpstreams(t *testing.T) {
	in := testInputs()
	assumed := neededUpstreams(in)
	in.PrefillRate = assumedPrefillRate
	require.Equal(t, assumed, neededUpstreams(in), "engines as assumed")
	in.PrefillRate = 2 * assumedPrefillRate
	require.InDelta(t, 0.5*float64(assumed), neededUpstreams(in), 1, "twice as fast")
	in.PrefillRate = assumedPrefillRate / 2
	require.InDelta(t, 2*float64(assumed), neededUpstreams(in), 1, "half as fast")
	in.PrefillRate, in.MeanSpeed = assumedPrefillRate, 1.25
	require.InDelta(t, 0.8*float64(assumed), neededUpstreams(in), 1, "uneven, and faster in the mean")
}

// TestTheLatencyOfLoadedEnginesCountsAsBefore guards against another number of upstreams where engines are
// nearly as fast as assumed, and their load decides.
func TestTheLatencyOfLoadedEnginesCountsAsBefore(t *testing.T) {
	for _, ratio := range []float64{1, 1.1, 1.2} {
		in := testInputs()
		in.LatencyRatio = ratio
		before := neededUpstreams(in)
		for _, rate := range []float64{36_000, 39_000, 42_000} {
			in.PrefillRate = rate
			require.InDelta(t, before, neededUpstreams(in), 1)
		}
	}
}

func TestRequestsInProgressNeedSlots(t *testing.T) {
	in := testInputs()
	in.PrefillRate, in.Slots = 10*assumedPrefillRate, 24
	few := neededUpstreams(in)
	in.OpenRequests = 720
	require.Greater(t, neededUpstreams(in), few)
	require.Equal(t, 40, neededUpstreams(in))
	in.Slots = 0
	require.Equal(t, few, neededUpstreams(in), "unknown slots")
}

func TestOnDemandUpstreamsCoverTheLossOfOneDomain(t *testing.T) {
	in := Inputs{Scaling: testScaling, PrefillDemand: 60_000, Measured: true, Domains: []Domain{
		{Name: "a", Reclaimable: 3}, {Name: "b", ReclaimableUnavailable: true}, {Name: "c", ReclaimableUnavailable: true},
	}}
	onDemand, _ := totals(Plan(in))
	require.Equal(t, neededUpstreams(in), onDemand, "the only domain with reclaimable upstreams may lose them")
}

func TestNoCapacityIsReleasedBeforeDemandIsMeasured(t *testing.T) {
	in := Inputs{Scaling: testScaling, PeakOnDemand: 18, Domains: []Domain{{Name: "a", OnDemand: 6}, {Name: "b", OnDemand: 6}, {Name: "c", OnDemand: 6}}}
	onDemand, reclaimable := totals(Plan(in))
	require.Equal(t, 9, onDemand)
	require.GreaterOrEqual(t, reclaimable, 9)
}

func TestOrdersStayWithinTheBoundsOfADomain(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParameters())
	properties.Property("bounds", prop.ForAll(
		func(prefill float64, running []int, noneAvailable []bool) bool {
			in := Inputs{Scaling: testScaling, PrefillDemand: prefill, Measured: true}
			for i, name := range []string{"a", "b", "c"} {
				in.Domains = append(in.Domains, Domain{Name: name, Reclaimable: running[i], ReclaimableUnavailable: noneAvailable[i]})
			}
			perDomain := make(map[string]int)
			for _, o := range Plan(in) {
				if o.Count < 0 {
					return false
				}
				perDomain[o.Domain] += o.Count
			}
			for _, n := range perDomain {
				if n > testScaling.Max {
					return false
				}
			}
			return true
		},
		gen.Float64Range(0, 2e6), gen.SliceOfN(3, gen.IntRange(0, 6)), gen.SliceOfN(3, gen.Bool()),
	))
	properties.TestingRun(t)
}

// testHolder holds the lease with the given fence; it does not hold it if the fence is 0.
type testHolder struct{ fence lease.Fence }

func (h *testHolder) Check() (lease.Fence, error) {
	if h.fence == 0 {
		return 0, lease.ErrNotHeld
	}
	return h.fence, nil
}

func TestAnOrderIsSentOnceAndOnlyByTheLeaseHolder(t *testing.T) {
	now := time.Unix(1000, 0)
	holder := &testHolder{}
	var sent []Order
	result := Accepted
	s := &Scaler{
		Holder: holder, Now: func() time.Time { return now }, Logger: slog.New(slog.DiscardHandler),
		Send: func(_ context.Context, _ lease.Fence, _ string, o Order) Result {
			sent = append(sent, o)
			return result
		},
	}
	step := func() {
		s.SendOrders(context.Background(), site.Service{Name: "engine", Scaling: &testScaling}, Inputs{
			Scaling: testScaling, PrefillDemand: 60_000, Measured: true, Domains: []Domain{{Name: "a", OnDemand: 2, Reclaimable: 6}, {Name: "b"}, {Name: "c"}},
		})
	}
	step()
	require.Empty(t, sent, "without the lease")
	holder.fence = 1
	step()
	first := len(sent)
	require.NotZero(t, first)
	step()
	require.Len(t, sent, first, "an order in effect is not repeated")
	holder.fence, result = 2, Fenced
	step()
	require.Greater(t, len(sent), first, "a new lease holder sends its orders")
	again := len(sent)
	now = now.Add(time.Minute)
	step()
	require.Len(t, sent, again, "a rejected fence is not used again")
}

func TestScaleDownWaitsUntilFewerUpstreamsSufficed(t *testing.T) {
	now := time.Unix(1000, 0)
	o := &standingOrder{count: 5, acceptedAt: now}
	_, due := o.due(3, 5, time.Second, now)
	require.False(t, due)
	_, due = o.due(4, 5, time.Second, now.Add(scaleDownDelay/2))
	require.False(t, due)
	count, due := o.due(2, 5, time.Second, now.Add(scaleDownDelay))
	require.True(t, due)
	require.Equal(t, 4, count, "the largest number planned during the delay")
	count, due = o.due(7, 5, time.Second, now)
	require.True(t, due)
	require.Equal(t, 7, count)
}

func TestANewLeaseHolderReleasesNothingAtOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	o := &standingOrder{count: -1}
	o.adoptRunning(0, 2)
	_, due := o.due(0, 2, time.Second, now)
	require.False(t, due)
	count, due := o.due(0, 2, time.Second, now.Add(scaleDownDelay))
	require.True(t, due)
	require.Zero(t, count)
	o = &standingOrder{count: -1}
	o.adoptRunning(3, 2)
	count, due = o.due(3, 2, time.Second, now)
	require.True(t, due, "missing upstreams are ordered at once")
	require.Equal(t, 3, count)
}
