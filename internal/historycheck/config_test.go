package historycheck

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestAPausedNodeHearsOfAChangeLater has n1 seen without a change of 1 s.
func TestAPausedNodeHearsOfAChangeLater(t *testing.T) {
	pause := Fault{Kind: FaultPause, Node: "n1", At: at(0.5), Till: at(6)}
	for _, c := range []struct {
		name  string
		fault Fault
		seen  []Seen
		found int
	}{
		{"asked while it was paused", pause, []Seen{{Version: 4, At: at(5.5)}}, 0},
		{"soon after it went on", pause, []Seen{{Version: 4, At: at(9.9)}}, 0},
		{"long after it went on", pause, []Seen{{Version: 4, At: at(10.1)}}, 1},
		{"paused before the change", Fault{Kind: FaultPause, Node: "n1", At: at(0.1), Till: at(0.9)}, []Seen{{Version: 4, At: at(5.5)}}, 1},
		{"another node was paused", Fault{Kind: FaultPause, Node: "n2", At: at(0.5), Till: at(6)}, []Seen{{Version: 4, At: at(5.5)}}, 1},
		{"its link was cut", Fault{Kind: FaultLink, Node: "n1", At: at(0.5), Till: at(6)}, []Seen{{Version: 4, At: at(5.5)}}, 1},
		{"the store was out", Fault{Kind: FaultStore, At: at(0.5), Till: at(6)}, []Seen{{Version: 4, At: at(5.5)}}, 1},
		{"it went back", pause, []Seen{{Version: 5, At: at(1.5)}, {Version: 4, At: at(5.5)}}, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			h := &History{Changes: []Change{{ID: "x", Version: 5, At: at(1)}}, Faults: []Fault{c.fault}, Seen: c.seen}
			for i := range h.Seen {
				h.Seen[i].Incarnation = "n1_0123456789abcdef"
			}
			require.Len(t, CheckConfig(h), c.found)
		})
	}
}
