package faulttest

import (
	"os"
	"path/filepath"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/standin/history"
)

// history returns what callers and stand-ins wrote so far.
func (s *site) history() *historycheck.History {
	var paths []string
	for _, u := range s.upstreams() {
		if path := u.role.Engine.HistoryPath; path != "" {
			if _, err := os.Stat(path); err == nil {
				paths = append(paths, path)
			}
		}
	}
	runs, err := history.Read(paths...)
	require.NoError(s.t, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	return &historycheck.History{
		Calls: s.calls, StandinEntries: runs, Faults: s.faults,
		Changes: s.changes, RejectedChanges: s.notMade, ObservedVersions: s.versions, StoredConfig: s.stored,
	}
}

// check fails the test for each violation of the history.
func (s *site) check() {
	s.t.Helper()
	for _, violation := range historycheck.Check(s.history()) {
		s.t.Errorf("seed %d: %s", s.options.seed, violation)
	}
}

// starts returns how often the stand-ins began a request.
func (s *site) starts(id string) int {
	return s.events(id, history.EventStart)
}

// dones returns how often the stand-ins ran a request to its end.
func (s *site) dones(id string) int {
	return s.events(id, history.EventDone)
}

func (s *site) events(id string, event history.Event) int {
	n := 0
	for _, entry := range s.history().StandinEntries {
		if entry.Event == event && entry.RequestID == id {
			n++
		}
	}
	return n
}

// logTail is how much of each process's log a failed test shows, in bytes.
const logTail = 3000

func (s *site) showLogs() {
	if !s.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(s.dir, "n*.log"))
	for _, path := range logs {
		data, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		s.t.Logf("%s:\n%s", filepath.Base(path), data[max(0, len(data)-logTail):])
	}
}
