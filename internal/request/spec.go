// Package request holds what a caller asked for and what is kept about it
// while it runs: the Spec, which never changes, and the Record.
package request

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// Priority orders requests; 9 is the most urgent, 0 the least.
type Priority uint8

// MaxPriority is the most urgent priority.
const MaxPriority Priority = 9

// BytesPerToken is how many bytes of a prompt make about one token.
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
	// MaxTokens is the most tokens to generate.
	MaxTokens int
	// Deadline is when the answer stops being of use, by the clock of the node that accepted it.
	Deadline time.Time
	Priority Priority
	// Idempotent is true when running the request twice does no harm.
	Idempotent bool
	Stream     bool
}

// PromptTokens returns about how many tokens the prompt has.
func (s *Spec) PromptTokens() int {
	return len(s.Input) / BytesPerToken
}
