package faulttest

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"slices"
	"time"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/historycheck"
	"mangoledge.example/mangoledge/internal/verdict"
)

// journalEvent is the kind of a journalEntry.
type journalEvent string

// The events of a caller's journal.
const (
	// eventBegin is the first entry of a request.
	eventBegin journalEvent = "begin"
	// eventID is written before a request is first sent under an ID.
	eventID journalEvent = "id"
	// eventToken is written when a token was received.
	eventToken journalEvent = "token"
	// eventRestart is written when the tokens received so far became invalid.
	eventRestart journalEvent = "restart"
	// eventLoss is written when a connection was lost.
	eventLoss journalEvent = "loss"
	// eventRefused is written for each refusal.
	eventRefused journalEvent = "refused"
	// eventResend is written when a restarted process resends a request.
	eventResend journalEvent = "back"
	// eventEnd is written when the outcome is known.
	eventEnd journalEvent = "end"
)

// journalEntry is one line of a caller's journal.
type journalEntry struct {
	At    time.Time
	Call  int
	Event journalEvent
	// Submission and To are set at eventBegin.
	Submission *callerapi.Submission `json:",omitempty"`
	To         string                `json:",omitempty"`
	ID         string                `json:",omitempty"`
	// Offset and Text are set at eventToken.
	Offset  int    `json:",omitempty"`
	Text    string `json:",omitempty"`
	Address string `json:",omitempty"`
	// Verdict is set at eventRefused and eventEnd.
	Verdict verdict.Verdict `json:",omitempty"`
	// Accepted, Whole, Output and Outcome are set at eventEnd.
	Accepted bool   `json:",omitempty"`
	Whole    bool   `json:",omitempty"`
	Output   string `json:",omitempty"`
	Outcome  string `json:",omitempty"`
}

// callState is the state of one request according to its journal entries.
type callState struct {
	call    historycheck.Call
	order   callerOrder
	ended   bool
	outcome string
}

// apply updates the state with one entry.
func (c *callState) apply(e *journalEntry) {
	switch e.Event {
	case eventBegin:
		c.begin(e)
	case eventID:
		c.addID(e.ID)
	case eventToken:
		c.call.Accepted = true
		c.call.Tokens = append(c.call.Tokens[:min(e.Offset, len(c.call.Tokens))], e.Text)
	case eventRestart:
		c.call.Tokens = nil
	case eventLoss:
		c.call.Losses = append(c.call.Losses, historycheck.Loss{Address: e.Address, At: e.At})
	case eventRefused:
		c.addID(e.ID)
		c.call.Refusals = append(c.call.Refusals, historycheck.Refusal{ID: e.ID, Verdict: e.Verdict, At: e.At})
	case eventResend:
		c.call.Restarts++
	case eventEnd:
		c.end(e)
	}
}

// begin sets the order and the call from the first entry of the request.
func (c *callState) begin(e *journalEntry) {
	sub := e.Submission
	c.order = callerOrder{Call: e.Call, Submission: sub, To: e.To}
	c.call = historycheck.Call{
		Name:       callName(sub),
		Input:      sub.Input,
		Service:    sub.Service.Set,
		Idempotent: sub.Idempotent.Or(true),
		SentOnce:   e.To != "",
		MaxTokens:  sub.MaxTokens.Or(0),
		Started:    e.At,
		Deadline:   e.At.Add(time.Duration(sub.DeadlineMs) * time.Millisecond),
	}
}

// addID records an ID unless it is known already; the last one is the one in use.
func (c *callState) addID(id string) {
	if id != "" && !slices.Contains(c.call.IDs, id) {
		c.call.IDs = append(c.call.IDs, id)
	}
}

// end sets the outcome of the call.
func (c *callState) end(e *journalEntry) {
	c.call.Accepted = c.call.Accepted || e.Accepted
	c.call.Complete = e.Whole
	c.call.Output = e.Output
	c.call.Verdict = e.Verdict
	c.call.Finished = e.At
	c.ended = true
	c.outcome = e.Outcome
}

// journalReader reads a journal while it is being written.
type journalReader struct {
	path   string
	offset int64
}

// readNew returns the entries written since the last call. An incomplete last line is left
// for a later call.
func (r *journalReader) readNew() []journalEntry {
	file, err := os.Open(r.path)
	if err != nil {
		return nil // the journal does not exist yet
	}
	defer func() { _ = file.Close() }()
	if _, err := file.Seek(r.offset, io.SeekStart); err != nil {
		return nil
	}
	data, err := io.ReadAll(file)
	if err != nil {
		return nil
	}
	data = data[:bytes.LastIndexByte(data, '\n')+1]
	r.offset += int64(len(data))
	entries, _ := decodeJournal(data)
	return entries
}

// readJournal reads a journal from its start; without a file it returns no entries.
func readJournal(path string) ([]journalEntry, error) {
	data, err := os.ReadFile(path)
	if os.IsNotExist(err) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	return decodeJournal(data[:bytes.LastIndexByte(data, '\n')+1])
}

// decodeJournal decodes complete lines of a journal. On an error it also returns the entries
// before the invalid line.
func decodeJournal(data []byte) ([]journalEntry, error) {
	var out []journalEntry
	for line := range bytes.Lines(data) {
		var entry journalEntry
		if err := json.Unmarshal(line, &entry); err != nil {
			return out, err
		}
		out = append(out, entry)
	}
	return out, nil
}

// journal is the file in which a caller's process records what it sends and receives.
type journal struct {
	file *os.File
}

// write appends an entry with a single system call, so that a kill leaves it complete or
// absent. It panics if that fails.
func (j *journal) write(entry *journalEntry) {
	entry.At = time.Now()
	line, err := json.Marshal(entry)
	if err != nil {
		panic(err)
	}
	if _, err := j.file.Write(append(line, '\n')); err != nil {
		panic(err)
	}
}
