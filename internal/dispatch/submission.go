package dispatch

import (
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
)

// Position is the part of an answer that a caller has already received.
type Position struct {
	// Generation is the generation of the caller's tokens.
	Generation ident.Generation
	// Offset is the number of tokens that the caller has.
	Offset int
	// Received contains these tokens if the caller sent them.
	Received []string
}

// Submission is a request sent by a caller, for the first time or as a resend.
type Submission struct {
	Spec     request.Spec
	Position Position
	// Forwarded is true when another node forwarded the request; it is not forwarded again.
	Forwarded bool
	// Memory is what the request's input is charged to; nil if it isn't. An entry retains it while it has
	// the input.
	Memory Memory `json:"-"`
}

// Memory is the charged memory of an input; ingress.Body implements it.
type Memory interface {
	// Retain keeps the memory charged until one more Release.
	Retain()
	Release()
}

// Resumption asks to follow a request that was sent before.
type Resumption struct {
	ID        ident.RequestID
	Workspace ident.Workspace
	Position  Position
	// Forwarded is as in Submission.
	Forwarded bool
}
