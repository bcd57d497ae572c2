package dispatch

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

// EventKind is the kind of an Event; its text is the event's name in the caller API.
type EventKind string

// The kinds of events that a follower of a request receives.
const (
	// EventAccepted is the first event, and is sent again for each new generation.
	EventAccepted EventKind = "accepted"
	// EventToken carries one token.
	EventToken EventKind = "token"
	// EventHeartbeat only shows that the node is alive.
	EventHeartbeat EventKind = "heartbeat"
	// EventMoved is the last event from a node that no longer serves the request; the
	// caller resumes at another node.
	EventMoved EventKind = "moved"
	// EventDone is the last event of a complete answer.
	EventDone EventKind = "done"
	// EventError is the last event of a failed request.
	EventError EventKind = "error"
)

// Last reports whether an event of this kind is the last one.
func (k EventKind) Last() bool {
	return k == EventMoved || k == EventDone || k == EventError
}

// Event is one message to a follower of a request.
type Event struct {
	Kind EventKind `json:"-"`
	// ID, Generation and Offset are set in EventAccepted.
	ID         string           `json:"id,omitempty"`
	Generation ident.Generation `json:"generation,omitempty"`
	// Offset and Text are set in EventToken.
	Offset int    `json:"offset"`
	Text   string `json:"text,omitempty"`
	// Tokens, Moves and Output are set in EventDone; Output only for plain services.
	Tokens int    `json:"tokens,omitempty"`
	Moves  int    `json:"moves"`
	Output string `json:"output,omitempty"`
	// Failure is set in EventError.
	Failure *verdict.Error `json:"failure,omitempty"`
}

// Emit receives events in order; an error from it ends Follow.
type Emit func(Event) error
