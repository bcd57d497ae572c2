package explain

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// MaxInputs is the most inputs kept of one decision; more are dropped.
const MaxInputs = 6

// Kind is what a decision is about.
type Kind uint8

// The kinds.
const (
	KindRequest Kind = iota
	KindUpstream
	KindHost
	KindChange
	KindModel
	kinds
)

// String returns the kind as the operators' language spells it.
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
	case kinds:
	}
	return "unknown"
}

// ParseKind undoes String.
func ParseKind(text string) (Kind, bool) {
	for k := range kinds {
		if k.String() == text {
			return k, true
		}
	}
	return 0, false
}

// Subject is what a decision is about.
type Subject struct {
	Kind Kind
	ID   string
}

// Decision is a kind of decision. Define each once, as a package variable.
type Decision struct {
	// Name names it in tables and in JSON, such as "dispatched".
	Name string
	// Sentence tells it to a person; {name} stands for the input of that name.
	Sentence string
}

// Input is one thing that a decision was made from.
type Input struct {
	Name   string
	Text   string
	Number float64
	// Numeric is true when Number holds the value.
	Numeric bool
}

// Text makes an input out of text.
func Text[S ~string](name string, value S) Input {
	return Input{Name: name, Text: string(value)}
}

// Number makes an input out of a number; the name or the sentence gives its unit.
func Number[N ~int | ~int64 | ~uint64 | ~float64](name string, value N) Input {
	return Input{Name: name, Number: float64(value), Numeric: true}
}

// String returns the value.
func (i Input) String() string {
	if i.Numeric {
		return strconv.FormatFloat(i.Number, 'f', -1, 64)
	}
	return i.Text
}

// Entry is one decision as it was made.
type Entry struct {
	At       time.Time
	Node     ident.Incarnation
	Subject  Subject
	Decision Decision
	Inputs   []Input
}

// Sentence tells the entry to a person.
func (e Entry) Sentence() string {
	pairs := make([]string, 0, 2*len(e.Inputs))
	for _, input := range e.Inputs {
		pairs = append(pairs, "{"+input.Name+"}", input.String())
	}
	return strings.NewReplacer(pairs...).Replace(e.Decision.Sentence)
}

// IsReasonOnly reports whether the sentence already holds all that the entry was made from.
func (e Entry) IsReasonOnly() bool {
	return len(e.Inputs) == 1 && e.Inputs[0].Name == reasonInput
}

// From lists the inputs as "name=value".
func (e Entry) From() string {
	parts := make([]string, 0, len(e.Inputs))
	for _, input := range e.Inputs {
		parts = append(parts, fmt.Sprintf("%s=%s", input.Name, input))
	}
	return strings.Join(parts, " ")
}

// Merge puts the entries of several nodes in the order of their times, each once.
func Merge(lists ...[]Entry) []Entry {
	var out []Entry
	seen := make(map[string]bool)
	for _, list := range lists {
		for _, entry := range list {
			key := fmt.Sprint(entry.At.UnixNano(), entry.Node, entry.Decision.Name, entry.From())
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
