package fleet

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/ident"
)

// MarkLifetime is how long a mark stays in force. A source that still sees its host or
// upstream leaving renews the mark.
const MarkLifetime = 15 * time.Minute

// Source identifies how a node learnt that an upstream or host is leaving.
type Source string

// The sources of marks.
const (
	// SourceNotice is a reclaim notice of the platform.
	SourceNotice Source = "reclaim notice"
	// SourceHostList is the platform's list of hosts.
	SourceHostList Source = "host list"
	// SourceAnswer is a response in which the upstream itself says that it is leaving.
	SourceAnswer Source = "its own answer"
	// SourceOperator is an operator's command that clears a mark; drains have SourceDrain.
	SourceOperator Source = "operator"
)

// Subject is the upstream or host that a mark applies to. Exactly one field is set.
type Subject struct {
	Upstream ident.Upstream
	Host     ident.Host
}

const (
	upstreamPrefix = "upstream/"
	hostPrefix     = "host/"
)

var errBadSubject = errors.New("subject of a mark is neither upstream/<id> nor host/<id>")

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

// Mark records that an upstream, or every upstream of a host, is leaving or, if Cleared,
// no longer leaving.
type Mark struct {
	Subject Subject `json:"-"`
	// At is when this was learnt, by the clock of the node that learnt it. The latest mark of
	// a subject wins.
	At     time.Time `json:"at"`
	Source Source    `json:"source"`
	// ReclaimAt is when the platform reclaims the host, by the platform's clock; zero while
	// unknown.
	ReclaimAt time.Time `json:"reclaimAt,omitzero"`
	// Cleared is true when an operator cleared the mark, or for a removed drain.
	Cleared bool `json:"cleared,omitempty"`
}

// changesReclaimTime reports whether m has a reclaim time that differs from that of known.
func (m Mark) changesReclaimTime(known Mark) bool {
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
