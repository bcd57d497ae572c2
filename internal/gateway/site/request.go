package site

import (
	"net/http"
	"time"
)

// PromptPart is one part of a prompt, which other requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// Request is one client attempt as it was received.
type Request struct {
	// AttemptID identifies this client attempt; each retry of the client has its own.
	AttemptID string
	Method    string
	Host      string
	// Target is the path and query as the client sent them.
	Target string
	Path   string
	// Key is the client's workspace key, or empty.
	Key string
	// ClientTimeout is how long the client waits for a response, counted from Received; 0 if
	// unknown.
	ClientTimeout time.Duration
	Received      time.Time
	Model         string
	// PromptTokens and MaxOutputTokens are the client's token counts; HasTokens is true if it
	// gave them.
	PromptTokens    int
	MaxOutputTokens int
	HasTokens       bool
	// Prompt lists the parts of the prompt in order.
	Prompt []PromptPart
	// LastEventID is the ID of the last event that the client of a resumed stream received, or empty.
	LastEventID string
	// ForwardHeader holds the headers to send to the upstream: the client's headers without
	// hop-by-hop headers and those that the system sets.
	ForwardHeader http.Header
	// Body holds the body in pieces, in order.
	Body [][]byte
}

// Cost returns the units that the request takes from the quota of the workspace.
func (r *Request) Cost(w *Workspace) float64 {
	if !w.CountsTokens {
		return 1
	}
	if !r.HasTokens {
		return float64(w.DefaultTokens)
	}
	return float64(r.PromptTokens + r.MaxOutputTokens)
}

// SharedParts returns the prompt parts that other requests may share: all but the last.
func (r *Request) SharedParts() []PromptPart {
	return r.Prompt[:max(0, len(r.Prompt)-1)]
}

// PrefixKey returns the ID of the prompt part that later requests are most likely to share: the
// last but one, as no other request shares the last.
func (r *Request) PrefixKey() string {
	switch len(r.Prompt) {
	case 0:
		return ""
	case 1:
		return r.Prompt[0].ID
	}
	return r.Prompt[len(r.Prompt)-2].ID
}
