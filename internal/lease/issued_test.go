package lease

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

// deleteObject deletes an object of the lease, as an operator could.
func (d *leaseFixture) deleteObject(t *testing.T, name string) {
	t.Helper()
	object, err := d.store.Get(t.Context(), Kind, name)
	require.NoError(t, err)
	require.NoError(t, d.store.Delete(t.Context(), Kind, name, object.Metadata.ResourceVersion))
}

// waitForExpiry advances the clock until a lease that is not renewed can be acquired.
func (d *leaseFixture) waitForExpiry() {
	d.clock.advance(DefaultTTL + DefaultTTL/clockMarginDivisor)
}

func TestFencingNumbersIncreaseAfterLeaseDeletion(t *testing.T) {
	d := newLeaseFixture(t)
	a, b := d.node("a_1"), d.node("b_1")
	ctx := t.Context()
	require.NoError(t, a.Step(ctx))
	highest, err := a.Check()
	require.NoError(t, err)
	for range 3 {
		d.deleteObject(t, "capacity")
		require.NoError(t, b.Step(ctx)) // recreates the lease
		require.NoError(t, b.Step(ctx))
		_, err = b.Check()
		require.ErrorIs(t, err, ErrNotHeld, "the previous holder may still act")
		d.waitForExpiry()
		_, err = a.Check()
		require.ErrorIs(t, err, ErrNotHeld)
		require.NoError(t, b.Step(ctx))
		fence, err := b.Check()
		require.NoError(t, err)
		require.Greater(t, fence, highest, "a fencing number was reused")
		_, err = b.CheckUnfenced()
		require.ErrorIs(t, err, ErrPreviousOrdersPending)
		highest = fence
		a, b = b, d.node("c_1")
	}
}

func TestHolderReacquiresDeletedLease(t *testing.T) {
	d := newLeaseFixture(t)
	a := d.node("a_1")
	ctx := t.Context()
	require.NoError(t, a.Step(ctx))
	first, err := a.Check()
	require.NoError(t, err)
	d.deleteObject(t, "capacity")
	require.Equal(t, objects.KindNotFound, objects.KindOf(a.Step(ctx)))
	_, err = a.Check()
	require.ErrorIs(t, err, ErrNotHeld)
	require.NoError(t, a.Step(ctx))
	require.NoError(t, a.Step(ctx))
	d.waitForExpiry()
	require.NoError(t, a.Step(ctx))
	again, err := a.Check()
	require.NoError(t, err)
	require.Greater(t, again, first)
}

func TestFencingNumbersIncreaseAfterIssuedObjectDeletion(t *testing.T) {
	d := newLeaseFixture(t)
	a, b := d.node("a_1"), d.node("b_1")
	ctx := t.Context()
	for range 3 {
		require.NoError(t, a.Step(ctx))
		require.NoError(t, a.Release(ctx))
	}
	d.deleteObject(t, "capacity"+issuedSuffix)
	require.NoError(t, b.Step(ctx))
	fence, err := b.Check()
	require.NoError(t, err)
	require.Equal(t, Fence(4), fence)
}
