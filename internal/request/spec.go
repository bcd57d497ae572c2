// Package request defines a caller's request as accepted, the Spec, and its
// changing state, the Record.
package request

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// Priority orders requests from 0, the least urgent, to MaxPriority.
type Priority uint8

// MaxPriority is the most urgent priority.
const MaxPriority Priority = 9

// BytesPerToken is the approximate number of bytes of a prompt per token.
const BytesPerToken = 4

// Spec is a caller's request as accepted. It never changes afterwards.
type Spec struct {
	ID        ident.RequestID
	Workspace ident.Workspace
	Kind      ident.Kind
	// Model is the model to run; empty for a call of a plain service.
	Model   ident.Model
	Adapter ident.Adapter
	// Service is the plain service to call; empty for model work.
	Service ident.Service
	// Input is the prompt or the payload.
	Input string
	// MaxTokens is the maximum number of tokens to generate.
	MaxTokens int
	// Deadline is the time after which the answer is of no use, by the clock of the
	// node that accepted the request.
	Deadline time.Time
	Priority Priority
	// Idempotent is true when the request may safely be run more than once.
	Idempotent bool
	Stream     bool
}

// EstimatePromptTokens estimates the number of tokens of the prompt.
func (s *Spec) EstimatePromptTokens() int {
	return len(s.Input) / BytesPerToken
}
