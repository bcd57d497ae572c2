package grant

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// predecessor is the state and the event from which a state was first reached.
type predecessor struct {
	from  int32
	event func() string
}

// result is the result of a search.
type result struct {
	states int
	// violation is empty when the invariants hold in every state.
	violation string
	// trace is the events that lead to the violation.
	trace []string
	// ran, answered and refused count states in which this has happened, to detect a
	// model that does nothing.
	ran, answered, refused int
}

func (r *result) count(s state) {
	if s.runs > 0 {
		r.ran++
	}
	if s.answered {
		r.answered++
	}
	if s.notRun {
		r.refused++
	}
}

// explore visits the reachable states breadth-first until one violates an invariant
// or limit states have been found.
func explore(m *model, limit int) result {
	first := m.initial()
	seen := map[state]struct{}{first: {}}
	queue := []state{first}
	origins := []predecessor{{from: -1}}
	found := result{}
	for at := 0; at < len(queue) && found.violation == "" && len(queue) < limit; at++ {
		m.next(queue[at], func(event func() string, next state) {
			if _, ok := seen[next]; ok || found.violation != "" {
				return
			}
			seen[next] = struct{}{}
			queue = append(queue, next)
			origins = append(origins, predecessor{from: int32(at), event: event})
			found.count(next)
			if violation := next.violation(); violation != "" {
				found.violation = violation
				found.trace = traceTo(origins)
			}
		})
	}
	found.states = len(queue)
	return found
}

// traceTo returns the events that led to the last state.
func traceTo(origins []predecessor) []string {
	var out []string
	for at := int32(len(origins) - 1); at > 0; at = origins[at].from {
		out = append(out, origins[at].event())
	}
	slices.Reverse(out)
	return out
}

// stateLimit is far above the number of states of the protocol; reaching it fails the test.
const stateLimit = 5_000_000

func TestInvariantsHoldInEveryReachableState(t *testing.T) {
	for _, expiry := range []bool{false, true} {
		t.Run(fmt.Sprintf("expiry %t", expiry), func(t *testing.T) {
			t.Parallel()
			m := newModel(injectedFaults{})
			m.expiry = expiry
			found := explore(m, stateLimit)
			t.Logf("%d states, %d tables, %d messages", found.states, len(m.tables), len(m.messages))
			require.Empty(t, found.violation, strings.Join(found.trace, "\n"))
			require.Less(t, found.states, stateLimit, "not every state was visited")
			require.Positive(t, found.ran)
			require.Positive(t, found.answered)
			require.Positive(t, found.refused)
		})
	}
}

func TestExplorerFindsInjectedFaults(t *testing.T) {
	variants := []struct {
		name      string
		faults    injectedFaults
		violation string
	}{
		{"hand-over retried with a second successor", injectedFaults{secondSuccessor: true}, "called not run, and was run"},
		{"not run reported without voiding the slot", injectedFaults{notRunWithoutVoid: true}, "called not run, and was run"},
		{"snapshot sent before the table is closed", injectedFaults{snapshotBeforeClose: true}, "called not run, and was run"},
		{"expiry drops fingerprints early", injectedFaults{expiryForgets: true}, "called not run, and was run"},
		{"old fingerprints dropped without refusing their period", injectedFaults{expiryForgetsLimit: true}, "called not run, and was run"},
		{"wrong result recorded", injectedFaults{wrongResultRecorded: true}, "called not run, and was run"},
	}
	for _, variant := range variants {
		t.Run(variant.name, func(t *testing.T) {
			m := newModel(variant.faults)
			m.expiry = variant.faults.expiryForgets || variant.faults.expiryForgetsLimit
			found := explore(m, stateLimit)
			t.Logf("%d states until %q:\n%s", found.states, found.violation, strings.Join(found.trace, "\n"))
			require.Equal(t, variant.violation, found.violation)
		})
	}
}
