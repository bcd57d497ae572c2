package lease

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A holder takes a released lease, the response is lost, and it finds its own record afterwards.
func TestReleasedLeaseTakenWithLostResponseIsNotUsedUnfencedUntilHandoverWaitIsOver(t *testing.T) {
	s := newUnfencedSite(t, 1)
	a, b := s.hosts[0], s.hosts[1]
	require.NoError(t, a.Step(t.Context()))
	require.NoError(t, a.Release(t.Context()))
	require.NoError(t, b.Step(t.Context()))
	require.NoError(t, b.Release(t.Context()))
	require.NoError(t, a.Step(t.Context()))
	// The write of a took effect, but a does not know: a new Lease of the same holder stands for it.
	again := New(a.options)
	require.NoError(t, again.Step(t.Context()))
	taken := s.clock.Now()
	for s.clock.Now().Sub(taken) < unfencedOrderTimeout+unfencedTTL/4 {
		s.clock.advance(unfencedTTL / 8)
		require.NoError(t, again.Step(t.Context()))
	}
	_, err := again.CheckUnfenced()
	require.ErrorIs(t, err, ErrPreviousOrdersPending, "the wait after a release was cut short")
}
