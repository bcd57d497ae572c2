package wait

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestForWaitsForTheWholeTime(t *testing.T) {
	start := time.Now()
	For(t.Context(), time.Millisecond)
	require.GreaterOrEqual(t, time.Since(start), time.Millisecond)
}

func TestForReturnsWhenItsContextEnds(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		For(ctx, time.Duration(1<<63-1))
	}()
	stop()
	<-ended
}

func TestForReturnsAtOnceForZeroOrNegativeTime(t *testing.T) {
	For(t.Context(), 0)
	For(t.Context(), -time.Hour)
}
