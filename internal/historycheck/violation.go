package historycheck

import "fmt"

// Property is a property that must always hold, in words.
type Property string

// The properties.
const (
	PropertyAnswered      Property = "accepted requests survive announced reclaims"
	PropertyAnswerContent Property = "callers receive the whole answer to their own request"
	PropertyNotRun        Property = "what is called not run was not run"
	PropertyAtMostOnce    Property = "non-idempotent requests run at most once"
	PropertyLeaving       Property = "leaving upstreams receive no new work"
	PropertyPlannedStop   Property = "planned stops cut off nothing"
	PropertyConfig        Property = "accepted configuration is in force everywhere and never reverts"
)

// Violation is one case in which a property did not hold.
type Violation struct {
	Property Property
	// Subject is the call, stand-in, node or change concerned.
	Subject string
	Detail  string
}

// String returns the violation in one line.
func (v Violation) String() string {
	return fmt.Sprintf("%s: %s: %s", v.Property, v.Subject, v.Detail)
}

// report collects the violations of one property.
type report struct {
	property   Property
	violations []Violation
}

func (r *report) add(subject, format string, args ...any) {
	r.violations = append(r.violations, Violation{Property: r.property, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}
