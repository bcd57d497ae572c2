package faulttest

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// scheduleTime is how long faults are made in one run.
	scheduleTime = 12 * time.Second
	// faultCount is how many faults one run has.
	faultCount = 14
)

// step is one fault of a schedule.
type step struct {
	at     time.Duration
	kind   stepKind
	target int
	// long is how long it lasts.
	long time.Duration
}

// stepKind is a kind of fault as schedules choose it.
type stepKind int

const (
	stepDelay stepKind = iota
	stepCut
	stepSilence
	stepDrip
	stepKill
	stepPause
	stepStop
	stepReclaimEngine
	stepKillCaller
	stepStoreOutage
	stepLostAnswer
	stepChange
	stepCrashUpstream
	stepReclaimDomain
	stepKinds
)

// schedule makes the faults of a seed; several may fall together. One failure
// domain at most is reclaimed, so that the others are left.
func schedule(seed uint64) []step {
	random := rand.New(rand.NewPCG(seed, seed))
	out := make([]step, faultCount)
	reclaimed := false
	for i := range out {
		out[i] = step{
			at:     time.Duration(random.Int64N(int64(scheduleTime))),
			kind:   stepKind(random.IntN(int(stepKinds))),
			target: random.IntN(1 << 16),
			long:   500*time.Millisecond + time.Duration(random.Int64N(int64(4*time.Second))),
		}
		if i > 0 && random.IntN(3) == 0 {
			out[i].at = out[i-1].at // together
		}
		if out[i].kind == stepReclaimDomain && reclaimed {
			out[i].kind = stepLostAnswer
		}
		reclaimed = reclaimed || out[i].kind == stepReclaimDomain
	}
	return out
}

func TestFixedSeedsHaveEveryKindOfFault(t *testing.T) {
	missing := make(map[stepKind]bool)
	for kind := range stepKinds {
		missing[kind] = true
	}
	for seed := range uint64(fixedSeeds) {
		for _, st := range schedule(seed + 1) {
			delete(missing, st.kind)
		}
	}
	require.Empty(t, missing)
}
