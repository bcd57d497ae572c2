package lease

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/standin/platform"
)

const (
	unfencedTTL          = 3 * time.Second
	unfencedOrderTimeout = 1200 * time.Millisecond
)

// unfencedSite is a few hosts that compete for a lease and send orders under it, to an upstream
// that ignores fencing numbers.
type unfencedSite struct {
	*leaseFixture
	random      *rand.Rand
	hosts       []*Lease
	pausedUntil []time.Time
	starts      int
	calls       []historycheck.LeaderCall
}

func newUnfencedSite(t *testing.T, seed uint64) *unfencedSite {
	s := &unfencedSite{leaseFixture: newLeaseFixture(t), random: rand.New(rand.NewPCG(seed, seed))}
	for range 3 {
		s.hosts = append(s.hosts, s.start(len(s.hosts)))
		s.pausedUntil = append(s.pausedUntil, s.clock.Now())
	}
	return s
}

// start returns the lease of a new process of a host.
func (s *unfencedSite) start(host int) *Lease {
	s.starts++
	return New(Options{
		Store: s.store, Name: "capacity", Holder: ident.Incarnation(fmt.Sprintf("h%d_%d", host, s.starts)),
		TTL: unfencedTTL, Clock: s.clock.Now, OrderTimeout: unfencedOrderTimeout, HandoverWait: unfencedTTL,
	})
}

// disturb pauses a host, or ends its process with or without a release of the lease.
func (s *unfencedSite) disturb(t *testing.T) {
	host := s.random.IntN(len(s.hosts))
	switch s.random.IntN(3) {
	case 0:
		s.pausedUntil[host] = s.clock.Now().Add(time.Duration(s.random.Int64N(int64(3 * unfencedTTL))))
	case 1:
		_ = s.hosts[host].Release(t.Context()) // may fail through the injected faults
		s.hosts[host] = s.start(host)
	default:
		s.hosts[host] = s.start(host)
	}
}

// step lets each running host act once, and sends an order where the lease allows it. The order
// arrives within the order timeout, also if its sender ends.
func (s *unfencedSite) step(t *testing.T) {
	for host, l := range s.hosts {
		if s.clock.Now().Before(s.pausedUntil[host]) {
			continue
		}
		_ = l.Step(t.Context()) // may fail through the injected faults
		if fence, err := l.CheckUnfenced(); err == nil {
			delay := time.Duration(s.random.Int64N(int64(unfencedOrderTimeout)))
			s.calls = append(s.calls, historycheck.LeaderCall{At: s.clock.Now().Add(delay), Host: strconv.Itoa(host), Fence: uint64(fence)})
		}
	}
	s.clock.advance(unfencedTTL / (2 * renewalsPerTTL))
}

// TestUnfencedOrdersArriveInOrder checks that orders to an upstream that ignores fencing numbers
// arrive with rising numbers, and that no host acts again shortly after another.
func TestUnfencedOrdersArriveInOrder(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(1)
	parameters.MinSuccessfulTests = 40
	properties := gopter.NewProperties(parameters)
	properties.Property("order of arrival", prop.ForAll(func(seed uint64) string {
		s := newUnfencedSite(t, seed)
		s.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultLostResponse, Probability: 0.1})
		s.platform.AddFault(platform.Fault{Service: platform.ServiceObjects, Kind: platform.FaultOutage, Probability: 0.05})
		for range 150 {
			if s.random.IntN(8) == 0 {
				s.disturb(t)
			}
			s.step(t)
		}
		return strings.Join(historycheck.CheckHandovers(s.calls, unfencedTTL), "; ")
	}, gen.UInt64().WithShrinker(gopter.NoShrinker)))
	properties.TestingRun(t)
}

func TestReleasedLeaseIsNotUsedUnfencedUntilHandoverWaitIsOver(t *testing.T) {
	s := newUnfencedSite(t, 1)
	a, b := s.hosts[0], s.hosts[1]
	require.NoError(t, a.Step(t.Context()))
	_, err := a.CheckUnfenced()
	require.NoError(t, err, "the first holder ever has nothing to wait for")
	require.NoError(t, a.Release(t.Context()))
	require.NoError(t, b.Step(t.Context()))
	_, err = b.Check()
	require.NoError(t, err)
	_, err = b.CheckUnfenced()
	require.ErrorIs(t, err, ErrPreviousOrdersPending)
	for range renewalsPerTTL {
		s.clock.advance(unfencedTTL / renewalsPerTTL)
		require.NoError(t, b.Step(t.Context()))
	}
	_, err = b.CheckUnfenced()
	require.NoError(t, err)
}
