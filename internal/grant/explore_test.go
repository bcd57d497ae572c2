package grant

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// origin is how a state was reached.
type origin struct {
	from  int32
	event func() string
}

// result is what a search has found.
type result struct {
	states int
	// violated is empty when every state holds.
	violated string
	story    []string
	// ran, answered and refused count states, so that a model that does nothing is noticed.
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

// explore visits every state that can be reached, nearest first, until one is bad.
func explore(m *model, limit int) result {
	first := m.initial()
	seen := map[state]struct{}{first: {}}
	queue := []state{first}
	origins := []origin{{from: -1}}
	found := result{}
	for at := 0; at < len(queue) && found.violated == "" && len(queue) < limit; at++ {
		m.next(queue[at], func(event func() string, next state) {
			if _, ok := seen[next]; ok || found.violated != "" {
				return
			}
			seen[next] = struct{}{}
			queue = append(queue, next)
			origins = append(origins, origin{from: int32(at), event: event})
			found.count(next)
			if bad := next.bad(); bad != "" {
				found.violated = bad
				found.story = story(origins)
			}
		})
	}
	found.states = len(queue)
	return found
}

// story returns the events that led to the last state.
func story(origins []origin) []string {
	var out []string
	for at := int32(len(origins) - 1); at > 0; at = origins[at].from {
		out = append(out, origins[at].event())
	}
	slices.Reverse(out)
	return out
}

// stateLimit is far above what the protocol needs; reaching it fails the test.
const stateLimit = 5_000_000

func TestEveryReachableStateHolds(t *testing.T) {
	for _, expiry := range []bool{false, true} {
		t.Run(fmt.Sprintf("expiry %t", expiry), func(t *testing.T) {
			t.Parallel()
			m := newModel(rules{})
			m.expiry = expiry
			found := explore(m, stateLimit)
			t.Logf("%d states, %d tables, %d messages", found.states, len(m.tables), len(m.messages))
			require.Empty(t, found.violated, strings.Join(found.story, "\n"))
			require.Less(t, found.states, stateLimit, "not every state was visited")
			require.Positive(t, found.ran)
			require.Positive(t, found.answered)
			require.Positive(t, found.refused)
		})
	}
}

func TestPlantedVariantsAreFound(t *testing.T) {
	variants := []struct {
		name     string
		rules    rules
		violated string
	}{
		{"hand-over retried at a second successor", rules{secondSuccessor: true}, "called not run, and was run"},
		{"not run without consuming the grant", rules{notRunWithoutVoid: true}, "called not run, and was run"},
		{"snapshot sent before granting stops", rules{snapshotBefore: true}, "called not run, and was run"},
		{"expiry forgets what was granted", rules{expiryForgets: true}, "called not run, and was run"},
		{"old fingerprints forgotten without a limit", rules{forgetsWithoutLimit: true}, "called not run, and was run"},
		{"recorded result is wrong", rules{resultUnrecorded: true}, "called not run, and was run"},
	}
	for _, variant := range variants {
		t.Run(variant.name, func(t *testing.T) {
			m := newModel(variant.rules)
			m.expiry = variant.rules.expiryForgets || variant.rules.forgetsWithoutLimit
			found := explore(m, stateLimit)
			t.Logf("%d states until %q:\n%s", found.states, found.violated, strings.Join(found.story, "\n"))
			require.Equal(t, variant.violated, found.violated)
		})
	}
}
