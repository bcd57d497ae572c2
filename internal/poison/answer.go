package poison

import (
	"mangoledge.example/mangoledge/internal/verdict"
)

// Answer is a gate's reply to a request to run some content.
type Answer struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Kind AnswerKind
	// Crashes is the number of crashes that count against the content. If it is not 0,
	// the run must not share its upstream with another suspect.
	Crashes int
	// Refusal is set if Kind is AnswerRefuse.
	Refusal *verdict.Error
}

// AnswerKind says whether the content may run.
type AnswerKind uint8

// Kinds of answer.
const (
	// AnswerPass allows one run; its pass has to be released.
	AnswerPass AnswerKind = iota
	// AnswerWait means that the run has to wait: the number of runs of the content in progress
	// has reached the number of crashes left until its quarantine.
	AnswerWait
	// AnswerRefuse means that the content is quarantined.
	AnswerRefuse
)
