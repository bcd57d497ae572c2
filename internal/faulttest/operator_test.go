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
	// operatorTries is how often an operator sends a change whose outcome is unknown.
	operatorTries = 10
	// operatorPause is the time between two of these.
	operatorPause = 300 * time.Millisecond
	// watchInterval is the time between two looks at the versions of all nodes.
	watchInterval = 200 * time.Millisecond
)

// operate changes the configuration as an operator does: at one node, and under
// the same ID at the next until the outcome is known. It notes what it was told.
func (s *site) operate(st step) {
	change := ident.Change(fmt.Sprintf("op-%d-%d", st.target, st.at.Milliseconds()))
	command := operatorapi.Command{
		Command:  fmt.Sprintf("set kind %s worth=%d", change, 1+st.target%9),
		ChangeId: operatorapi.NewOptString(string(change)),
	}
	for try := range operatorTries {
		result, ok := s.command(s.nodes[(st.target+try)%len(s.nodes)], &command)
		if ok && s.settled(change, result) {
			return
		}
		time.Sleep(operatorPause)
	}
	s.t.Logf("%s: its outcome is not known", change)
}

// settled notes the outcome of a change and reports whether it is known.
func (s *site) settled(change ident.Change, result *operatorapi.CommandResult) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch result.Outcome {
	case operatorapi.CommandResultOutcomeAccepted:
		version := uint64(result.Version.Value)
		s.changes = append(s.changes, historycheck.Change{ID: change, Version: version, At: time.Now()})
		return true
	case operatorapi.CommandResultOutcomeRefused, operatorapi.CommandResultOutcomeConflict:
		s.notMade = append(s.notMade, change)
		return true
	default:
		return false
	}
}

// command runs a command at a node, past its links, and reports whether it was answered.
func (s *site) command(n *node, command *operatorapi.Command) (*operatorapi.CommandResult, bool) {
	body, err := command.MarshalJSON()
	require.NoError(s.t, err)
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, "http://"+n.settings.OperatorListen+"/v1/command", bytes.NewReader(body))
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := patientClient.Do(req)
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

// watchUntil notes the versions that all nodes have in force until stop is closed.
func (s *site) watchUntil(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(watchInterval):
		}
		h := &historycheck.History{}
		s.seen(h)
		s.mu.Lock()
		s.versions = append(s.versions, h.ObservedVersions...)
		s.mu.Unlock()
	}
}

// readStored notes the changes that the store has at the end.
func (s *site) readStored() {
	store := objects.NewClient(objects.Options{BaseURL: s.platform})
	defer store.Close()
	ctx, cancel := context.WithTimeout(s.t.Context(), readyTimeout)
	defer cancel()
	_, document := s.storedDocument(ctx, store)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stored = &historycheck.StoredConfig{}
	for _, record := range document.Recent {
		s.stored.Changes = append(s.stored.Changes, record.Change)
	}
}
