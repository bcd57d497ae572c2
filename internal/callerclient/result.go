package callerclient

import (
	"time"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/verdict"
)

// Outcome is how a request ended for the caller.
type Outcome string

// The outcomes.
const (
	// OutcomeComplete means that the complete answer was received.
	OutcomeComplete Outcome = "whole"
	// OutcomeRefused means that the site refused the request or reported its failure; see Verdict.
	OutcomeRefused Outcome = "refused"
	// OutcomeLost means that the deadline passed, the caller gave up or the attempts
	// were used up without an answer.
	OutcomeLost Outcome = "lost"
)

// Result is the result of one request as its caller saw it.
type Result struct {
	// ID is the request ID last used.
	ID string
	// Generation identifies the sampling run that Tokens belong to.
	Generation string
	Outcome    Outcome
	// Verdict says whether the request may have run. It is Ran for complete answers.
	Verdict verdict.Verdict
	// Refusal is the refusal of the last attempt; nil if it was not refused.
	Refusal *callerapi.Refusal
	// Err is why the last attempt failed; nil for complete answers.
	Err error
	// Output is the complete text, or the service's response.
	Output string
	// Tokens are the tokens of a stream, in order.
	Tokens []string
	// Accepted is true when a node accepted or answered the request.
	Accepted bool
	// Moves is how many times the request moved to another upstream or node, as counted by the site.
	Moves int
	// Attempts is how many times the request was sent or resumed.
	Attempts int
	// Restarts is how many times received tokens were dropped because the generation had changed.
	Restarts int
	// Started is when the request was handed to the client.
	Started time.Time
	// FirstToken is when the first token was received; zero if none was.
	FirstToken time.Time
	// Finished is when the outcome was known.
	Finished time.Time
	// Gaps are the times between consecutive tokens.
	Gaps []time.Duration
	// Addresses are the URLs tried, in order.
	Addresses []string
}
