package dispatch

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// Position is how much of an answer a caller already holds.
type Position struct {
	// Generation is the generation that the caller's tokens belong to.
	Generation ident.Generation
	// Offset is the number of tokens that the caller holds.
	Offset int
	// Received are these tokens, when the caller sent them along.
	Received []string
}

// Submission is a request as a caller sends it, for the first time or again.
type Submission struct {
	Spec     request.Spec
	Position Position
	// Forwarded is true when another node passed the request on; it is not passed on again.
	Forwarded bool
}

// Resumption asks to follow a request that was sent before.
type Resumption struct {
	ID        ident.RequestID
	Workspace ident.Workspace
	Position  Position
	Forwarded bool
}
