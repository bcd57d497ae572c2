package testbed

import (
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// newBed returns a Bed whose programs are links to the test executable, see TestMain.
func newBed(t *testing.T) *Bed {
	t.Helper()
	self, err := os.Executable()
	require.NoError(t, err)
	bin := t.TempDir()
	for _, program := range []string{"mangoledge-standin", "mangoledged"} {
		require.NoError(t, os.Symlink(self, filepath.Join(bin, program)))
	}
	bed := &Bed{Bin: bin, Dir: t.TempDir()}
	t.Cleanup(bed.Close)
	return bed
}

// occupyAddress returns an address that the test itself listens on until it ends.
func occupyAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// allocateOccupied makes bed get the address occupied the nth time that it allocates one,
// counted from 0.
func allocateOccupied(bed *Bed, occupied string, nth int) {
	asked := 0
	bed.allocateAddress = func() (string, error) {
		asked++
		if asked-1 == nth {
			return occupied, nil
		}
		return findFreeAddress()
	}
}

func TestStandinStartsAtAnotherAddressIfItsAddressIsInUse(t *testing.T) {
	bed := newBed(t)
	occupied := occupyAddress(t)
	allocateOccupied(bed, occupied, 0)
	p, err := bed.StartPlatform()
	require.NoError(t, err)
	require.NotEqual(t, occupied, p.Address)
	require.NoError(t, bed.OfferHosts("d1"), "the platform does not answer at its address")
}

func TestNodeStartsAtOtherAddressesIfOneIsInUse(t *testing.T) {
	for nth, listener := range []string{"callers", "operators", "peers"} {
		t.Run(listener, func(t *testing.T) {
			bed := newBed(t)
			_, err := bed.StartPlatform()
			require.NoError(t, err)
			require.NoError(t, bed.OfferHosts("d1"))
			occupied := occupyAddress(t)
			allocateOccupied(bed, occupied, nth)
			n, err := bed.StartNode("n1", "d1", nil)
			require.NoError(t, err)
			require.True(t, n.Running())
			for _, address := range []string{n.Settings.CallerListen, n.Settings.OperatorListen, n.Settings.PeerListen} {
				require.NotEqual(t, occupied, address)
			}
			require.Equal(t, n.Settings.CallerListen, n.Address)
		})
	}
}

func TestFailedStartReturnsTheErrorOfTheProcess(t *testing.T) {
	bed := newBed(t)
	occupied := occupyAddress(t)
	bed.allocateAddress = func() (string, error) { return occupied, nil }
	_, err := bed.StartPlatform()
	require.True(t, errors.Is(err, errAddressInUse))
	require.ErrorContains(t, err, "listen tcp "+occupied+": bind: address already in use")
}
