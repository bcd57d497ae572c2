package poison

import (
	"mangoledge.example/mangoledge/internal/verdict"
)

// Answer is what a gate says to a content.
type Answer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Kind AnswerKind
	// Crashes is how many crashes count against the content. When there are
	// any, the run must not share its upstream with another suspect.
	Crashes int
	// Refusal is set when Kind is AnswerRefuse.
	Refusal *verdict.Error
}

// AnswerKind says whether a content may run.
type AnswerKind uint8

// The answers of a gate.
const (
	// AnswerPass lets the content run; the pass is to be given back.
	AnswerPass AnswerKind = iota
	// AnswerWait means that as many runs of the content are going on as crashes are left to it.
	AnswerWait
	// AnswerRefuse means that the content is convicted.
	AnswerRefuse
)
