package faulttest

import (
	"os"
	"path/filepath"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/standin/history"
)

// history returns the history of the run so far.
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
		Changes: s.changes, RejectedChanges: s.rejectedChanges, ObservedVersions: s.observedVersions, StoredConfig: s.storedConfig,
	}
}

// checkHistory reports each violation in the history as an error of the test.
func (s *site) checkHistory() {
	s.t.Helper()
	for _, violation := range historycheck.Check(s.history()) {
		s.t.Errorf("seed %d: %s", s.options.seed, violation)
	}
}

// startCount returns how many times the stand-ins began to run a request.
func (s *site) startCount(id string) int {
	return s.eventCount(id, history.EventStart)
}

// doneCount returns how many times the stand-ins ran a request to its end.
func (s *site) doneCount(id string) int {
	return s.eventCount(id, history.EventDone)
}

// eventCount returns the number of stand-in entries of an event for a request.
func (s *site) eventCount(id string, event history.Event) int {
	n := 0
	for _, entry := range s.history().StandinEntries {
		if entry.Event == event && entry.RequestID == id {
			n++
		}
	}
	return n
}

// logTailBytes is the number of bytes from the end of each node's log that a failed test shows.
const logTailBytes = 3000

// showLogsOnFailure writes the ends of the nodes' logs to the log of a failed test.
func (s *site) showLogsOnFailure() {
	if !s.t.Failed() {
		return
	}
	logs, _ := filepath.Glob(filepath.Join(s.dir, "n*.log"))
	for _, path := range logs {
		data, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		s.t.Logf("%s:\n%s", filepath.Base(path), data[max(0, len(data)-logTailBytes):])
	}
}
