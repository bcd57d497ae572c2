package historycheck

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPausedNodeMayLearnOfChangeLater observes node n1 without a change that was accepted at 1 s.
func TestPausedNodeMayLearnOfChangeLater(t *testing.T) {
	pause := Fault{Kind: FaultPause, Node: "n1", At: at(0.5), End: at(6)}
	for _, c := range []struct {
		name  string
		fault Fault
		seen  []ObservedVersion
		found int
	}{
		{"observed while paused", pause, []ObservedVersion{{Version: 4, At: at(5.5)}}, 0},
		{"observed within the limit after the pause", pause, []ObservedVersion{{Version: 4, At: at(9.9)}}, 0},
		{"observed later than the limit after the pause", pause, []ObservedVersion{{Version: 4, At: at(10.1)}}, 1},
		{"paused before the change", Fault{Kind: FaultPause, Node: "n1", At: at(0.1), End: at(0.9)}, []ObservedVersion{{Version: 4, At: at(5.5)}}, 1},
		{"another node was paused", Fault{Kind: FaultPause, Node: "n2", At: at(0.5), End: at(6)}, []ObservedVersion{{Version: 4, At: at(5.5)}}, 1},
		{"link of the node cut", Fault{Kind: FaultLink, Node: "n1", At: at(0.5), End: at(6)}, []ObservedVersion{{Version: 4, At: at(5.5)}}, 1},
		{"outage of the object store", Fault{Kind: FaultStore, At: at(0.5), End: at(6)}, []ObservedVersion{{Version: 4, At: at(5.5)}}, 1},
		{"older version after a newer one", pause, []ObservedVersion{{Version: 5, At: at(1.5)}, {Version: 4, At: at(5.5)}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &History{Changes: []Change{{ID: "x", Version: 5, At: at(1)}}, Faults: []Fault{c.fault}, ObservedVersions: c.seen}
			for i := range h.ObservedVersions {
				h.ObservedVersions[i].Incarnation = "n1_0123456789abcdef"
			}
			require.Len(t, CheckConfig(h), c.found)
		})
	}
}
