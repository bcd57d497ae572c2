package settings

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestDuplicateKeysAreFaults(t *testing.T) {
	for text, want := range map[string][]string{
		`{"a": 1, "b": {"a": 2}}`:  {},
		`{"a": 1, "b": 2, "a": 1}`: {"a"},
		`{"x": {"a": 1, "a": {"c": 1}}, "y": [{"k": 1}, {"k": 1, "k": 2}]}`:             {"x.a", "y[1].k"},
		`{"x": ["a", "a", ["b", "b"]], "a": "x", "z": [{}, [], {"q": null, "q": [1]}]}`: {"z[2].q"},
		`{"a": 1, "a": 2, `: {"a"},
		`[1, 2`:             {},
	} {
		require.Equal(t, want, duplicateKeys([]byte(text)), text)
	}
	_, err := Parse([]byte(`{"node": "n1", "limits": {"maxConcurrent": 1, "maxConcurrent": 2}, "peerToken": "planted-a", "peerToken": "planted-b"}`))
	require.ErrorContains(t, err, "limits.maxConcurrent")
	require.ErrorContains(t, err, "is given more than once")
	require.ErrorContains(t, err, "peerToken")
	require.NotContains(t, err.Error(), "planted")
}
