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
	// OutcomeWhole means that the whole answer was received.
	OutcomeWhole Outcome = "whole"
	// OutcomeRefused means that the site refused the request or said that it failed; see Verdict.
	OutcomeRefused Outcome = "refused"
	// OutcomeLost means that the deadline passed, or the caller gave up, without an answer.
	OutcomeLost Outcome = "lost"
)

// Result is what became of one request, as its caller saw it.
type Result struct {
	// ID is the request ID last used.
	ID string
	// Generation is the sampling run that Tokens belong to.
	Generation string
	Outcome    Outcome
	// Verdict says whether the request may have run. It is Ran for whole answers.
	Verdict verdict.Verdict
	// Refusal is the last refusal; nil for whole answers.
	Refusal *callerapi.Refusal
	// Err is why the last attempt failed; nil for whole answers.
	Err error
	// Output is the whole text, or the service's reply.
	Output string
	// Tokens are the tokens of a stream, in order.
	Tokens []string
	// Accepted is true when a node said so, or gave the answer.
	Accepted bool
	// Moves is how many times the request changed its upstream or node, as the site counted.
	Moves int
	// Attempts is how many times the request was sent or resumed.
	Attempts int
	// Restarts is how many times received tokens were dropped because the generation had changed.
	Restarts int
	// Started is when the request was handed to the client.
	Started time.Time
	// FirstToken is when the first token came; zero when none came.
	FirstToken time.Time
	// Finished is when the outcome was known.
	Finished time.Time
	// Gaps are the times between two tokens.
	Gaps []time.Duration
	// Addresses are the addresses tried, in order.
	Addresses []string
}
