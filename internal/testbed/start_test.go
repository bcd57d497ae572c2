package testbed

import (
	"net"
	"os"
	"path/filepath"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

// newBed returns a bed whose programs are this test's own.
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

// takeAddress returns an address that the test itself listens on.
func takeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// givesTaken has the bed get the address taken the nth time that it asks for one, from 0 on.
func givesTaken(bed *Bed, taken string, nth int) {
	asked := 0
	bed.free = func() (string, error) {
		asked++
		if asked-1 == nth {
			return taken, nil
		}
		return freeAddress()
	}
}

func TestAStandinWhoseAddressIsTakenIsStartedAtAnother(t *testing.T) {
	bed := newBed(t)
	taken := takeAddress(t)
	givesTaken(bed, taken, 0)
	p, err := bed.StartPlatform()
	require.NoError(t, err)
	require.NotEqual(t, taken, p.Address)
	require.NoError(t, bed.OfferHosts("d1"), "the platform answers at its address")
}

func TestANodeWithAnAddressThatIsTakenIsStartedAtOthers(t *testing.T) {
	for nth, listener := range []string{"callers", "operators", "peers"} {
		t.Run(listener, func(t *testing.T) {
			bed := newBed(t)
			_, err := bed.StartPlatform()
			require.NoError(t, err)
			require.NoError(t, bed.OfferHosts("d1"))
			taken := takeAddress(t)
			givesTaken(bed, taken, nth)
			n, err := bed.StartNode("n1", "d1", nil)
			require.NoError(t, err)
			require.True(t, n.Running())
			for _, address := range []string{n.Settings.CallerListen, n.Settings.OperatorListen, n.Settings.PeerListen} {
				require.NotEqual(t, taken, address)
			}
			require.Equal(t, n.Settings.CallerListen, n.Address)
		})
	}
}

func TestAStartThatFailsTellsTheProcessesOwnError(t *testing.T) {
	bed := newBed(t)
	taken := takeAddress(t)
	bed.free = func() (string, error) { return taken, nil }
	_, err := bed.StartPlatform()
	require.True(t, errors.Is(err, errAddressTaken))
	require.ErrorContains(t, err, "listen tcp "+taken+": bind: address already in use")
}
