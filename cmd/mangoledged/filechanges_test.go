package main

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWrittenOrReplacedFileIsReportedAsChangedOnce(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	require.NoError(t, os.WriteFile(path, []byte("a = 1"), 0o600))
	f := newFileChangeDetector(path)
	require.False(t, f.changed())

	require.NoError(t, os.WriteFile(path, []byte("a = 12"), 0o600))
	require.True(t, f.changed())
	require.False(t, f.changed())

	require.NoError(t, os.Remove(path))
	require.False(t, f.changed(), "a missing file was reported as changed")
	require.NoError(t, os.WriteFile(path, []byte("a = 13"), 0o600))
	require.NoError(t, os.Chtimes(path, time.Time{}, time.Now().Add(time.Hour)))
	require.True(t, f.changed())
}
