package faulttest

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// scheduleDuration is the time within which the faults of one run begin.
	scheduleDuration = 12 * time.Second
	// stepCount is the number of steps in the schedule of one run.
	stepCount = 14
)

// step is one fault, or one configuration change, of a schedule.
type step struct {
	at   time.Duration
	kind stepKind
	// target selects what is affected: its remainder by the number of candidates is an index.
	target int
	// duration is how long the fault lasts, the time until a restart or the notice of a reclaim.
	duration time.Duration
}

// stepKind is a kind of step in a schedule.
type stepKind int

const (
	stepDelay stepKind = iota
	stepCut
	stepBlackhole
	stepLimitBandwidth
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
	stepKindCount
)

// schedule returns the steps of a seed. Several steps may begin at the same time. At most one
// failure domain is reclaimed, so that the others remain.
func schedule(seed uint64) []step {
	random := rand.New(rand.NewPCG(seed, seed))
	out := make([]step, stepCount)
	reclaimed := false
	for i := range out {
		out[i] = step{
			at:       time.Duration(random.Int64N(int64(scheduleDuration))),
			kind:     stepKind(random.IntN(int(stepKindCount))),
			target:   random.IntN(1 << 16),
			duration: 500*time.Millisecond + time.Duration(random.Int64N(int64(4*time.Second))),
		}
		if i > 0 && random.IntN(3) == 0 {
			out[i].at = out[i-1].at // both begin at once
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
	for kind := range stepKindCount {
		missing[kind] = true
	}
	for seed := range uint64(fixedSeeds) {
		for _, st := range schedule(seed + 1) {
			delete(missing, st.kind)
		}
	}
	require.Empty(t, missing)
}
