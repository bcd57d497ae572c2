package lease_test

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/gateway/httpconn"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/platform"
	"mangoledge.example/mangoledge/platform/platformtest"
)

const (
	eraTTL          = 3 * time.Second
	eraOrderTimeout = 1200 * time.Millisecond
)

// eraSite is a few hosts that compete for a lease in a store that may come back from an older copy.
type eraSite struct {
	t      *testing.T
	now    time.Time
	store  *platformtest.Store
	hosts  []*lease.Lease
	stores []*platform.Store
	starts int
}

func newEraSite(t *testing.T, hosts int) *eraSite {
	s := &eraSite{t: t, now: time.Now(), store: platformtest.NewStore(t)}
	s.hosts, s.stores = make([]*lease.Lease, hosts), make([]*platform.Store, hosts)
	for i := range hosts {
		s.start(i)
	}
	return s
}

// start starts a new process of a host.
func (s *eraSite) start(host int) {
	s.starts++
	logger := slog.New(slog.DiscardHandler)
	store := platform.NewStore(s.store.Address(), httpconn.NewPool(nil), logger)
	l := lease.New(lease.Options{
		Store: store, Name: "duties", Holder: ident.Incarnation(fmt.Sprintf("h%d_%d", host, s.starts)), TTL: eraTTL,
		Clock: func() time.Time { return s.now }, OrderTimeout: eraOrderTimeout, HandoverWait: eraTTL, Logger: logger,
	})
	store.OnEra = func(before, _ uint64) {
		if before != 0 {
			l.LoseEra()
		}
	}
	s.hosts[host], s.stores[host] = l, store
}

// step lets a host renew or acquire the lease, and returns its fencing number, or 0.
func (s *eraSite) step(host int) lease.Fence {
	_ = s.hosts[host].Step(s.t.Context()) // an error is followed by another step
	fence, err := s.hosts[host].Check()
	if err != nil {
		return 0
	}
	return fence
}

// holder steps a host until it holds the lease.
func (s *eraSite) holder(host int) lease.Fence {
	s.t.Helper()
	for range 40 {
		if fence := s.step(host); fence != 0 {
			return fence
		}
		s.now = s.now.Add(eraTTL / 4)
	}
	s.t.Fatal("the lease was not acquired")
	return 0
}

func TestFencingNumberIsNotIssuedAgainAfterStoreCameBackFromOlderCopy(t *testing.T) {
	for name, between := range map[string]func(*eraSite){
		"lease lost as a whole":   func(*eraSite) {},
		"one holder in the copy":  func(s *eraSite) { s.holder(0); require.NoError(s.t, s.hosts[0].Release(s.t.Context())) },
		"renewed by its first":    func(s *eraSite) { s.holder(0) },
		"three holders, released": func(s *eraSite) { s.passOn(0, 1, 2) },
	} {
		t.Run(name, func(t *testing.T) {
			s := newEraSite(t, 4)
			between(s)
			older := s.store.Copy()
			s.passOn(1, 2)
			before := s.holder(3)
			s.store.ComeBackFrom(older)
			after := s.holder(0)
			require.Greater(t, after, before)
			require.Zero(t, s.step(3), "the holder before still believes in its lease")
		})
	}
}

// passOn lets hosts acquire and release the lease in turn.
func (s *eraSite) passOn(hosts ...int) {
	for _, h := range hosts {
		for i := range s.hosts {
			_ = s.hosts[i].Release(s.t.Context())
		}
		s.holder(h)
	}
	_ = s.hosts[hosts[len(hosts)-1]].Release(s.t.Context())
}

func TestConditionThatHoldsAgainByChanceDoesNotRenewTheLease(t *testing.T) {
	s := newEraSite(t, 2)
	older := s.store.Copy()
	before := s.holder(0)
	s.store.ComeBackFrom(older)
	other := s.holder(1) // the same revisions are given out again
	require.Greater(t, other, before)
	require.Zero(t, s.step(0))
	require.Equal(t, other, s.step(1))
}

// order is an order of a holder as the cloud saw it.
type order struct {
	host  int
	fence lease.Fence
	at    time.Time
}

func TestFencingNumbersNeverRepeatOrFallInAnyInterleaving(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 32))
			s := newEraSite(t, 3)
			copies := []platformtest.StoreCopy{s.store.Copy()}
			var fenced, unfenced []order
			for range 250 {
				s.now = s.now.Add(time.Duration(random.IntN(900)) * time.Millisecond)
				host := random.IntN(len(s.hosts))
				switch random.IntN(14) {
				case 0:
					copies = append(copies, s.store.Copy())
				case 1:
					if random.IntN(2) == 0 {
						s.store.ComeBackFrom(copies[max(0, len(copies)-1-random.IntN(3))])
						copies = []platformtest.StoreCopy{s.store.Copy()}
					}
				case 2:
					s.start(host)
				case 3:
					_ = s.hosts[host].Release(t.Context())
				default:
					s.step(host)
				}
				if fence, err := s.hosts[host].Check(); err == nil {
					fenced = append(fenced, order{host, fence, s.now})
				}
				if fence, err := s.hosts[host].CheckUnfenced(); err == nil {
					unfenced = append(unfenced, order{host, fence, s.now})
				}
			}
			holderOf := make(map[lease.Fence]int)
			for _, o := range fenced {
				if host, known := holderOf[o.fence]; known {
					require.Equal(t, host, o.host, "fencing number %d was sent by two hosts", o.fence)
				}
				holderOf[o.fence] = o.host
			}
			for i, o := range unfenced[:max(0, len(unfenced)-1)] {
				require.LessOrEqual(t, o.fence, unfenced[i+1].fence, "an order followed one with a later fencing number")
			}
		})
	}
}
