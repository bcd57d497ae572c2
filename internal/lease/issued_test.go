package lease

import (
	"testing"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

// remove deletes an object of the lease as by hand.
func (d *duty) remove(t *testing.T, name string) {
	t.Helper()
	object, err := d.store.Get(t.Context(), Kind, name)
	require.NoError(t, err)
	require.NoError(t, d.store.Delete(t.Context(), Kind, name, object.Metadata.ResourceVersion))
}

// passTTL moves the clock on until a lease that nobody renews can be taken.
func (d *duty) passTTL() {
	d.clock.add(DefaultTTL + DefaultTTL/marginShare)
}

func TestFencingNumbersGoOnAfterALeaseWasDeleted(t *testing.T) {
	d := newDuty(t)
	a, b := d.node("a_1"), d.node("b_1")
	ctx := t.Context()
	require.NoError(t, a.Step(ctx))
	highest, err := a.Check()
	require.NoError(t, err)
	for range 3 {
		d.remove(t, "capacity")
		require.NoError(t, b.Step(ctx)) // puts it back
		require.NoError(t, b.Step(ctx))
		_, err = b.Check()
		require.ErrorIs(t, err, ErrNotHeld, "the last holder may still act")
		d.passTTL()
		_, err = a.Check()
		require.ErrorIs(t, err, ErrNotHeld)
		require.NoError(t, b.Step(ctx))
		fence, err := b.Check()
		require.NoError(t, err)
		require.Greater(t, fence, highest, "a fencing number came back")
		_, err = b.CheckUnfenced()
		require.ErrorIs(t, err, ErrNotWaitedOut)
		highest = fence
		a, b = b, d.node("c_1")
	}
}

func TestHolderWhoseLeaseWasDeletedTakesItAgain(t *testing.T) {
	d := newDuty(t)
	a := d.node("a_1")
	ctx := t.Context()
	require.NoError(t, a.Step(ctx))
	first, err := a.Check()
	require.NoError(t, err)
	d.remove(t, "capacity")
	require.Equal(t, objects.KindNotFound, objects.KindOf(a.Step(ctx)))
	_, err = a.Check()
	require.ErrorIs(t, err, ErrNotHeld)
	require.NoError(t, a.Step(ctx))
	require.NoError(t, a.Step(ctx))
	d.passTTL()
	require.NoError(t, a.Step(ctx))
	again, err := a.Check()
	require.NoError(t, err)
	require.Greater(t, again, first)
}

func TestFencingNumbersGoOnAfterTheirOwnObjectWasDeleted(t *testing.T) {
	d := newDuty(t)
	a, b := d.node("a_1"), d.node("b_1")
	ctx := t.Context()
	for range 3 {
		require.NoError(t, a.Step(ctx))
		require.NoError(t, a.Release(ctx))
	}
	d.remove(t, "capacity"+issuedSuffix)
	require.NoError(t, b.Step(ctx))
	fence, err := b.Check()
	require.NoError(t, err)
	require.Equal(t, Fence(4), fence)
}
