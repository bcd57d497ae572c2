package httpconn

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// pacedReader returns one byte after each pause.
type pacedReader time.Duration

func (r pacedReader) Read(p []byte) (int, error) {
	time.Sleep(time.Duration(r))
	return copy(p, "x"), nil
}

// TestFastStreamIsNotTakenForOneReadLate guards against streams whose events come too fast for a read to wait, and
// whose ends would never be trusted.
func TestFastStreamIsNotTakenForOneReadLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewPromptReader(pacedReader(blockedRead / 2))
		for range 400 {
			_, err := r.Read(make([]byte, 1))
			require.NoError(t, err)
		}
		require.Equal(t, time.Now(), r.AliveAt())
	})
}

func TestTimeNotSpentReadingMakesTheEndLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const pause = 50 * time.Millisecond
		began := time.Now()
		r := NewPromptReader(pacedReader(0))
		for range 3 {
			time.Sleep(pause)
			_, err := r.Read(make([]byte, 1))
			require.NoError(t, err)
		}
		require.Equal(t, began, r.AliveAt())
		r.Reader = pacedReader(blockedRead)
		_, err := r.Read(make([]byte, 1))
		require.NoError(t, err)
		require.Equal(t, time.Now(), r.AliveAt(), "the peer had nothing more to read")
	})
}
