package request

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestOldestAnswersAreDroppedBeyondTheLimit(t *testing.T) {
	var all []Kept
	for i := range 10 {
		all = append(all, Kept{Since: time.Unix(int64(100-i), 0), Bytes: 10})
	}
	dropped, rest := Oldest(all, 100)
	require.Empty(t, dropped)
	require.EqualValues(t, 100, rest)
	dropped, rest = Oldest(all, 99)
	require.Len(t, dropped, 3)
	require.EqualValues(t, 70, rest)
	for i := range dropped {
		require.Equal(t, time.Unix(int64(91+i), 0), dropped[i].Since)
	}
}
