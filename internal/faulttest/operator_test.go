package faulttest

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/api/operatorapi"
	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

const (
	// operatorAttempts is how many times an operator sends a change whose outcome is unknown.
	operatorAttempts = 10
	// operatorRetryDelay is the time between two of these attempts.
	operatorRetryDelay = 300 * time.Millisecond
	// versionPollInterval is the time between two readings of the versions of all nodes.
	versionPollInterval = 200 * time.Millisecond
)

// changeAsOperator changes the configuration as an operator does: it sends the change to one
// node and resends it under the same ID to the next node until the outcome is known, which it
// records.
func (s *site) changeAsOperator(st step) {
	change := ident.Change(fmt.Sprintf("op-%d-%d", st.target, st.at.Milliseconds()))
	command := operatorapi.Command{
		Command:  fmt.Sprintf("set kind %s worth=%d", change, 1+st.target%9),
		ChangeId: operatorapi.NewOptString(string(change)),
	}
	for try := range operatorAttempts {
		result, ok := s.runCommand(s.nodes[(st.target+try)%len(s.nodes)], &command)
		if ok && s.recordOutcome(change, result) {
			return
		}
		time.Sleep(operatorRetryDelay)
	}
	s.t.Logf("%s: the outcome is not known", change)
}

// recordOutcome records the outcome of a change and reports whether it is known.
func (s *site) recordOutcome(change ident.Change, result *operatorapi.CommandResult) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch result.Outcome {
	case operatorapi.CommandResultOutcomeAccepted:
		version := uint64(result.Version.Value)
		s.changes = append(s.changes, historycheck.Change{ID: change, Version: version, At: time.Now()})
		return true
	case operatorapi.CommandResultOutcomeRefused, operatorapi.CommandResultOutcomeConflict:
		s.rejectedChanges = append(s.rejectedChanges, change)
		return true
	default:
		return false
	}
}

// runCommand sends a command to a node, bypassing its links, and reports whether it was answered.
func (s *site) runCommand(n *node, command *operatorapi.Command) (*operatorapi.CommandResult, bool) {
	body, err := command.MarshalJSON()
	require.NoError(s.t, err)
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+n.settings.OperatorListen+"/v1/command", bytes.NewReader(body))
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := longTimeoutClient.Do(req)
	if err != nil {
		return nil, false
	}
	defer func() { _ = resp.Body.Close() }()
	result := new(operatorapi.CommandResult)
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(result) != nil {
		return nil, false
	}
	return result, true
}

// recordVersionsUntil records the versions in force on all nodes until stop is closed.
func (s *site) recordVersionsUntil(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(versionPollInterval):
		}
		h := &historycheck.History{}
		s.recordVersions(h)
		s.mu.Lock()
		s.observedVersions = append(s.observedVersions, h.ObservedVersions...)
		s.mu.Unlock()
	}
}

// recordStoredChanges records the changes that the store has at the end of the run.
func (s *site) recordStoredChanges() {
	store := objects.NewClient(objects.Options{BaseURL: s.platform})
	defer store.Close()
	ctx, cancel := context.WithTimeout(s.t.Context(), readyTimeout)
	defer cancel()
	_, document := s.storedDocument(ctx, store)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.storedConfig = &historycheck.StoredConfig{}
	for _, record := range document.Recent {
		s.storedConfig.Changes = append(s.storedConfig.Changes, record.Change)
	}
}
