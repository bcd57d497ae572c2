package explain

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// MaxInputs is the maximum number of inputs kept of one decision; further ones are dropped.
const MaxInputs = 6

// Kind is the kind of a subject.
type Kind uint8

// The kinds of subjects.
const (
	KindRequest Kind = iota
	KindUpstream
	KindHost
	KindChange
	KindModel
	kindCount
)

// String returns the kind's name in the operators' language.
func (k Kind) String() string {
	switch k {
	case KindRequest:
		return "request"
	case KindUpstream:
		return "upstream"
	case KindHost:
		return "host"
	case KindChange:
		return "change"
	case KindModel:
		return "model"
	case kindCount:
	}
	return "unknown"
}

// ParseKind returns the kind whose String is text.
func ParseKind(text string) (Kind, bool) {
	for k := range kindCount {
		if k.String() == text {
			return k, true
		}
	}
	return 0, false
}

// Subject identifies what a decision is about.
type Subject struct {
	Kind Kind
	ID   string
}

// Decision is a type of decision. Define each once, as a package variable.
type Decision struct {
	// Name is its name in tables and in JSON, such as "dispatched".
	Name string
	// Sentence is the template of its description; {name} stands for the input of that name.
	Sentence string
}

// Input is a named value that a decision was based on.
type Input struct {
	Name   string
	Text   string
	Number float64
	// Numeric is true if Number holds the value, not Text.
	Numeric bool
}

// Text returns an input that holds text.
func Text[S ~string](name string, value S) Input {
	return Input{Name: name, Text: string(value)}
}

// Number returns an input that holds a number; the name or the sentence gives its unit.
func Number[N ~int | ~int64 | ~uint64 | ~float64](name string, value N) Input {
	return Input{Name: name, Number: float64(value), Numeric: true}
}

// String returns the value as text.
func (i Input) String() string {
	if i.Numeric {
		return strconv.FormatFloat(i.Number, 'f', -1, 64)
	}
	return i.Text
}

// Entry is one recorded decision.
type Entry struct {
	At       time.Time
	Node     ident.Incarnation
	Subject  Subject
	Decision Decision
	Inputs   []Input
}

// Sentence returns the decision's sentence with the inputs filled in.
func (e Entry) Sentence() string {
	pairs := make([]string, 0, 2*len(e.Inputs))
	for _, input := range e.Inputs {
		pairs = append(pairs, "{"+input.Name+"}", input.String())
	}
	return strings.NewReplacer(pairs...).Replace(e.Decision.Sentence)
}

// IsReasonOnly reports whether the only input is a reason, which the sentence contains.
func (e Entry) IsReasonOnly() bool {
	return len(e.Inputs) == 1 && e.Inputs[0].Name == reasonInput
}

// InputsText returns the inputs as "name=value", separated by spaces.
func (e Entry) InputsText() string {
	parts := make([]string, 0, len(e.Inputs))
	for _, input := range e.Inputs {
		parts = append(parts, fmt.Sprintf("%s=%s", input.Name, input))
	}
	return strings.Join(parts, " ")
}

// Merge returns the entries of several nodes in the order of their times, without duplicates.
func Merge(lists ...[]Entry) []Entry {
	var out []Entry
	seen := make(map[string]bool)
	for _, list := range lists {
		for _, entry := range list {
			key := fmt.Sprint(entry.At.UnixNano(), entry.Node, entry.Decision.Name, entry.InputsText())
			if seen[key] {
				continue
			}
			seen[key] = true
			out = append(out, entry)
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].At.Before(out[j].At) })
	return out
}
