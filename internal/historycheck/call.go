package historycheck

import (
	"time"

	"mangoledge.example/mangoledge/internal/verdict"
)

// Call is one request of a caller from its first send to its outcome.
type Call struct {
	// Name tells calls apart in reports.
	Name string
	// IDs are the request IDs used; a fresh one is taken only after a refusal as not run.
	IDs []string
	// Input is the prompt or the payload.
	Input string
	// Service is true for a call of a plain service.
	Service    bool
	Idempotent bool
	// MaxTokens is how many tokens a whole answer has.
	MaxTokens int
	// Accepted is true when a node told the caller so, or gave the answer.
	Accepted bool
	Started  time.Time
	Finished time.Time
	Deadline time.Time
	// Whole is true when the caller received its last event or its whole answer.
	Whole bool
	// Verdict is what the caller knows at the end about whether it may have run.
	Verdict verdict.Verdict
	// Returns is how often the caller's process was started again while the request was open.
	Returns int
	// Single is true when the request was sent once to one node and not come back to.
	Single bool
	// Cancelled is true when the caller gave the request up.
	Cancelled bool
	// Tokens are what the caller received of a stream.
	Tokens []string
	// Output is the reply of a plain service, or the text of a whole answer.
	Output string
	// Refusals are all refusals that the caller was told, in order.
	Refusals []Refusal
	// Losses are the connections that broke under the request.
	Losses []Loss
}
