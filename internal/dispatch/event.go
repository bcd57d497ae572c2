package dispatch

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/verdict"
)

// EventKind is the kind of an Event; its text is the event's name in the caller API.
type EventKind string

// The events of a request that is followed.
const (
	// EventAccepted is the first event.
	EventAccepted EventKind = "accepted"
	// EventToken carries one token.
	EventToken EventKind = "token"
	// EventHeartbeat only proves that the node is alive.
	EventHeartbeat EventKind = "heartbeat"
	// EventMoved is the last event of a node that leaves; the caller comes back elsewhere.
	EventMoved EventKind = "moved"
	// EventDone is the last event of a whole answer.
	EventDone EventKind = "done"
	// EventError is the last event of a failed request.
	EventError EventKind = "error"
)

// Last reports whether no event comes behind one of this kind.
func (k EventKind) Last() bool {
	return k == EventMoved || k == EventDone || k == EventError
}

// Event is something that a follower of a request is told.
type Event struct {
	Kind EventKind `json:"-"`
	// ID and Generation are set in EventAccepted.
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

// Emit takes events one after the other; its error ends the following.
type Emit func(Event) error
