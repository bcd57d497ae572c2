package historycheck

import (
	"time"

	"mangoledge.example/mangoledge/internal/verdict"
)

// Call is one request of a caller, from its first send to its outcome.
type Call struct {
	// Name identifies the call in reports.
	Name string
	// IDs are the request IDs used, in order; a new one is used only after a refusal with the verdict not run.
	IDs []string
	// Input is the prompt or the payload.
	Input string
	// Service is true for a call of a plain service, false for a request to a model.
	Service    bool
	Idempotent bool
	// MaxTokens is the number of tokens in a complete answer.
	MaxTokens int
	// Accepted is true if a node reported to the caller that it accepted the request, or answered it.
	Accepted bool
	Started  time.Time
	Finished time.Time
	Deadline time.Time
	// Complete is true if the caller received the last event of the stream or the complete answer.
	Complete bool
	// Verdict is what the caller finally knows about whether the request ran.
	Verdict verdict.Verdict
	// Restarts is the number of times the caller's process was restarted before the request had an outcome.
	Restarts int
	// SentOnce is true if the request was sent once, to one node, and never resent.
	SentOnce bool
	// Cancelled is true if the caller cancelled the request.
	Cancelled bool
	// Tokens are the tokens of a stream that the caller received.
	Tokens []string
	// Output is the reply of a plain service, or the text of a complete answer.
	Output string
	// Refusals are all refusals that the caller received, in order.
	Refusals []Refusal
	// Losses are the connections that broke while they carried the request.
	Losses []Loss
}
