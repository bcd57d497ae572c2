package retry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"mangoledge.example/mangoledge/internal/verdict"
)

func parameters() *gopter.TestParameters {
	p := gopter.DefaultTestParametersWithSeed(7)
	p.MinSuccessfulTests = 500
	return p
}

func TestNextRespectsVerdictAndDeadline(t *testing.T) {
	start := time.Unix(1000, 0)
	properties := gopter.NewProperties(parameters())
	properties.Property("no retry of a non-idempotent request that may have run, none at or after the deadline", prop.ForAll(
		func(attempt int, v uint8, idempotent bool, left int64, seed uint64) bool {
			policy := NewPolicy(NewBudget(1, 10), rand.New(rand.NewPCG(seed, 1)))
			deadline := start.Add(time.Duration(left) * time.Millisecond)
			pause, ok := policy.Next(attempt, verdict.Verdict(v), idempotent, start, deadline)
			if !ok {
				return true
			}
			if !idempotent && verdict.Verdict(v) != verdict.NotRun {
				return false
			}
			return pause > 0 && pause <= DefaultMaxBackoff && start.Add(pause).Before(deadline) && attempt < DefaultMaxAttempts
		},
		gen.IntRange(1, 6), gen.UInt8Range(0, 2), gen.Bool(), gen.Int64Range(-100, 5000), gen.UInt64(),
	))
	properties.TestingRun(t)
}

func TestNextAllowsSafeRetries(t *testing.T) {
	start := time.Unix(1000, 0)
	policy := NewPolicy(NewBudget(1, 10), rand.New(rand.NewPCG(1, 1)))
	if _, ok := policy.Next(1, verdict.NotRun, false, start, start.Add(time.Minute)); !ok {
		t.Fatal("the retry of a non-idempotent request that was not run was refused")
	}
	if _, ok := policy.Next(1, verdict.MayHaveRun, true, start, start.Add(time.Minute)); !ok {
		t.Fatal("the retry of an idempotent request that may have run was refused")
	}
}

func TestBudgetBoundsRetries(t *testing.T) {
	properties := gopter.NewProperties(parameters())
	properties.Property("retries stay within share and reserve; counters never decrease", prop.ForAll(
		func(steps []bool) bool {
			const share, reserve = 0.1, 5
			budget := NewBudget(share, reserve)
			var before Usage
			for _, attempt := range steps {
				if attempt {
					budget.Attempt()
				} else {
					budget.Take()
				}
				now := budget.Usage()
				if now.First < before.First || now.Retries < before.Retries || now.Refused < before.Refused {
					return false
				}
				if float64(now.Retries) > reserve+share*float64(now.First)+1e-9 {
					return false
				}
				before = now
			}
			return true
		},
		gen.SliceOfN(200, gen.Bool()),
	))
	properties.TestingRun(t)
}

func TestSharedBudgetStartsEmptyAndAccruesReserveOncePerWindow(t *testing.T) {
	now := time.Unix(1000, 0)
	budget := NewSharedBudget(0, 10*time.Second, func() time.Time { return now }, rand.New(rand.NewPCG(1, 1)))
	take := func() (n int) {
		for budget.Take() {
			n++
		}
		return n
	}
	now = now.Add(time.Hour)
	if n := take(); n != 0 {
		t.Fatalf("%d retries allowed before a reserve was set, want 0", n)
	}
	budget.SetReserve(4)
	if n := take(); n != 0 {
		t.Fatalf("%d retries allowed right after the reserve was set, want 0", n)
	}
	now = now.Add(5 * time.Second)
	if n := take(); n != 2 {
		t.Fatalf("%d retries allowed after half a window, want half of the reserve: 2", n)
	}
	now = now.Add(time.Hour)
	if n := take(); n != 4 {
		t.Fatalf("%d retries allowed after many windows, want the reserve of 4", n)
	}
}
