package ending

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestInvalidSharesAreRefusedWithPathAndValue(t *testing.T) {
	for text, want := range map[string]string{
		`{"drawnPercent": 120}`:               "drawnPercent: got 120; a whole number from 0 to 100",
		`{"cutPercent": -1}`:                  "cutPercent: got -1; a whole number from 0 to 100",
		`{"resetPercent": "many"}`:            `resetPercent: got "many"; a whole number is allowed here`,
		`{"drawnPercent": 101, "unknown": 1}`: "drawnPercent: got 101; ",
		`{"cutPercents": 1}`:                  "cutPercents: ",
		`{"openPercent": 40, "resetPercent": 50, "processEndPercent": 11}`: "processEndPercent: got 11; at most 100 together with resetPercent and openPercent; they are 101",
		`{"cutPercent": 1, "cutPercent": 2}`:                               "cutPercent: is given more than once",
		`{`:                                                                "is no JSON document",
	} {
		path := filepath.Join(t.TempDir(), "endings.json")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := Load(path)
		require.ErrorContains(t, err, want)
		require.ErrorContains(t, err, path)
	}
	_, err := Load(filepath.Join(t.TempDir(), "missing.json"))
	require.ErrorIs(t, err, os.ErrNotExist)
}

func TestSharesOfAFileAreTaken(t *testing.T) {
	path := filepath.Join(t.TempDir(), "endings.json")
	require.NoError(t, os.WriteFile(path, []byte(`{"drawnPercent": 70, "cutPercent": 25, "seed": 7}`), 0o600))
	s, err := Load(path)
	require.NoError(t, err)
	require.Equal(t, Settings{DrawnPercent: 70, CutPercent: 25, Seed: 7}, *s)
}
