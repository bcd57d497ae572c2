package slopes

import (
	"io"
	"math"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestRunMeasuresWhatItIsAskedFor(t *testing.T) {
	report, err := Run(Options{Sizes: []int{2}, Only: []string{"witness", "entry", "observe", "lists", "reconciler"}, Progress: io.Discard})
	require.NoError(t, err)
	parts := make(map[string]int)
	for _, f := range report.Figures {
		part, _, _ := strings.Cut(f.Name, ".")
		parts[part]++
		require.False(t, math.IsNaN(f.Value) || math.IsInf(f.Value, 0), f.Name)
		require.NotEmpty(t, f.Unit, f.Name)
		require.NotEmpty(t, f.How, f.Name)
	}
	require.Equal(t, map[string]int{"witness": 7, "entry": 3, "observe": 3, "lists": 11, "reconciler": 14}, parts)
}

func TestWaitForGivesUp(t *testing.T) {
	s := new(site)
	require.False(t, s.waitFor(pollInterval, func() bool { return false }))
	require.True(t, s.waitFor(joinTimeout, func() bool { return true }))
}

func TestSpreadAtASmallSiteIsComplete(t *testing.T) {
	s, err := newSite(3)
	require.NoError(t, err)
	defer s.stop()
	m := meter{size: 3}
	m.measureSpread(s, "few", 20)
	for _, f := range m.figures {
		require.NotContains(t, f.How, "NOT", f.Name)
	}
}
