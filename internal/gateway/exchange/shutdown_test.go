package exchange

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestRequestThatCanOutlastTheProcessIsNotAcceptedLateInAShutdown(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	began := time.Unix(1000, 0)
	s := &Shutdown{MovedAt: began.Add(2500 * time.Millisecond), Ends: began.Add(7400 * time.Millisecond)}
	for range 10000 {
		now := began.Add(time.Duration(random.Int64N(int64(8 * time.Second))))
		deadline := now.Add(time.Duration(random.Int64N(int64(15 * time.Second))))
		usual := time.Duration(random.Int64N(int64(15 * time.Second)))
		accepted := s.accepts(now, deadline, usual)
		if !deadline.After(s.Ends) {
			require.True(t, accepted, "a request that ends in time was refused at %s", now.Sub(began))
			continue
		}
		likelyWhole := !now.Add(usual).After(s.Ends)
		require.Equal(t, now.Before(s.MovedAt) && likelyWhole, accepted, "at %s", now.Sub(began))
	}
}

func TestDurationsForgetOldResponses(t *testing.T) {
	d := NewDurations()
	for range keptDurations {
		d.Add("slow", time.Minute)
	}
	_, known := d.Within("fast", 1)
	require.False(t, known)
	for i := range keptDurations {
		d.Add("fast", time.Duration(i%10+1)*time.Second)
	}
	_, known = d.Within("slow", 1)
	require.False(t, known)
	took, known := d.Within("fast", 0.8)
	require.True(t, known)
	require.Equal(t, 8*time.Second, took)
	require.Len(t, d.latest, keptDurations)
}
