package fleet

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
)

// MarkLife is how long a mark holds. A source that still sees its host or
// upstream leaving marks it again.
const MarkLife = 15 * time.Minute

// Source says how it was learnt that an upstream or host is leaving.
type Source string

// The sources of marks.
const (
	// SourceNotice is a reclaim notice of the platform.
	SourceNotice Source = "reclaim notice"
	// SourceHostList is the platform's list of hosts.
	SourceHostList Source = "host list"
	// SourceAnswer is the upstream's own answer that it is leaving.
	SourceAnswer Source = "its own answer"
	// SourceOperator is an operator's command that takes a mark back; a drain is SourceDrain.
	SourceOperator Source = "operator"
)

// Subject is what a mark is about. One of Upstream and Host is set.
type Subject struct {
	Upstream ident.Upstream
	Host     ident.Host
}

const (
	upstreamPrefix = "upstream/"
	hostPrefix     = "host/"
)

var errBadSubject = errors.New("a mark is about upstream/<id> or host/<id>")

// String returns the text form, "upstream/<id>" or "host/<id>".
func (s Subject) String() string {
	if s.Upstream != "" {
		return upstreamPrefix + string(s.Upstream)
	}
	return hostPrefix + string(s.Host)
}

func parseSubject(text string) (Subject, error) {
	if id, ok := strings.CutPrefix(text, upstreamPrefix); ok && id != "" {
		return Subject{Upstream: ident.Upstream(id)}, nil
	}
	if id, ok := strings.CutPrefix(text, hostPrefix); ok && id != "" {
		return Subject{Host: ident.Host(id)}, nil
	}
	return Subject{}, errBadSubject
}

// Mark says that an upstream, or every upstream of a host, is leaving, or that it is not any more.
type Mark struct {
	Subject Subject `json:"-"`
	// At is when it was learnt, by the clock of the node that learnt it. The later mark of a subject wins.
	At     time.Time `json:"at"`
	Source Source    `json:"source"`
	// ReclaimAt is when the platform takes the host away, by the platform's clock;
	// zero while nobody has said.
	ReclaimAt time.Time `json:"reclaimAt,omitzero"`
	// Cleared is true when an operator took the mark back.
	Cleared bool `json:"cleared,omitempty"`
}

// tellsReclaim reports whether m knows another reclaim time than known does.
func (m Mark) tellsReclaim(known Mark) bool {
	return !m.ReclaimAt.IsZero() && !m.ReclaimAt.Equal(known.ReclaimAt)
}

func (m Mark) version() uint64 {
	return uint64(max(0, m.At.UnixMilli()))
}

func (m Mark) encode() ([]byte, error) {
	return json.Marshal(m)
}

func decodeMark(subject string, payload []byte) (Mark, error) {
	var m Mark
	if err := json.Unmarshal(payload, &m); err != nil {
		return Mark{}, errors.Wrap(err, "mark")
	}
	var err error
	m.Subject, err = parseSubject(subject)
	return m, err
}
