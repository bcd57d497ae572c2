package testpause

import (
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestAtWaitsOnlyWhileItsPointIsHeld(t *testing.T) {
	dir := t.TempDir()
	t.Setenv(DirVariable, dir)
	hold := HoldPath(dir, Granted, os.Getpid())
	require.NoError(t, os.WriteFile(hold, nil, 0o600))
	At(HandOverClosed)
	require.NoFileExists(t, ReachedPath(dir, HandOverClosed, os.Getpid()))

	passed := make(chan struct{})
	go func() {
		At(Granted)
		close(passed)
	}()
	require.Eventually(t, func() bool { return exists(ReachedPath(dir, Granted, os.Getpid())) }, time.Minute, pollInterval)
	select {
	case <-passed:
		t.Fatal("At returned while the hold file existed")
	default:
	}
	require.NoError(t, os.Remove(hold))
	<-passed
}
