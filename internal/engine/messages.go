// Package engine is the HTTP client for model engines.
//
// Invariants: every error is a *verdict.Error that says whether the request may
// have run; a non-idempotent completion is sent once, on a new connection; a
// stream that sends nothing for longer than its idle timeout has failed.
package engine

import "mangoledge.example/mangoledge/internal/ident"

// Completion is the body of a completion request.
type Completion struct {
	RequestID  string           `json:"request_id"`
	Model      ident.Model      `json:"model"`
	Adapter    ident.Adapter    `json:"adapter,omitempty"`
	Prompt     string           `json:"prompt"`
	Prefix     []string         `json:"prefix,omitempty"`
	Generation ident.Generation `json:"generation"`
	MaxTokens  int              `json:"max_tokens"`
	Priority   int              `json:"priority"`
	Stream     bool             `json:"stream"`
}

// Chunk is one event of a stream.
type Chunk struct {
	Offset int    `json:"offset"`
	Text   string `json:"text,omitempty"`
	// Done is true in the last event, which carries no text.
	Done bool `json:"done,omitempty"`
	// Tokens is the number of tokens of the whole completion, in the last event.
	Tokens int `json:"tokens,omitempty"`
	// Exported is true in the last event of a stream whose KV cache was exported.
	Exported bool `json:"exported,omitempty"`
}

// Failure is the body of an error response.
type Failure struct {
	Error FailureDetail `json:"error"`
}

// FailureDetail describes an error.
type FailureDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// The values of FailureDetail.Code.
const (
	CodeFull    = "full"
	CodeLeaving = "leaving"
	CodeUnknown = "unknown"
	CodeFenced  = "fenced"
)

// KVExport is the response to an export request.
type KVExport struct {
	Handle       string   `json:"handle"`
	Tokens       []string `json:"tokens"`
	PromptTokens int      `json:"prompt_tokens"`
	Bytes        int64    `json:"bytes"`
}

// KVImport is the body of an import request.
type KVImport struct {
	Handle string `json:"handle"`
	// Source is the base URL of the engine that exported the KV cache.
	Source string `json:"source"`
}

// Load is an engine's report of its load.
type Load struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	Slots   int     `json:"slots"`
	KVUsed  float64 `json:"kv_used"`
	AtMs    int64   `json:"at_ms"`
}
