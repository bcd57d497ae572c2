package membership

import (
	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
)

// finality says whether and how an incarnation ended.
type finality uint8

const (
	finalNone finality = iota
	finalDead
	finalLeft
)

// The bits of record.flags.
const (
	flagSuspected = 1 << iota
	flagDraining
)

// record is the known state of one incarnation. Records of one incarnation form a join
// semilattice under merge: order, loss and repetition of updates do not matter.
type record struct {
	Incarnation ident.Incarnation
	// Refutation is incremented by the incarnation itself each time it refutes a
	// suspicion.
	Refutation uint32
	// Suspected is true when a member could not reach the incarnation since Refutation.
	Suspected bool
	// Draining is true when the incarnation takes no new duties.
	Draining  bool
	Final     finality
	Successor ident.Incarnation
	Details   details
}

// details are constant for an incarnation; short records omit them.
type details struct {
	PeerAddress   string
	CallerURL     string
	Region        ident.Region
	FailureDomain ident.FailureDomain
	Protocol      Protocol
	UnknownFields unknownFields
}

func recordOf(m Member) record {
	return record{
		Incarnation: m.Incarnation,
		Draining:    m.State == StateLeaving,
		Successor:   m.Successor,
		Details: details{
			PeerAddress:   m.PeerAddress,
			CallerURL:     m.CallerURL,
			Region:        m.Region,
			FailureDomain: m.FailureDomain,
			Protocol:      m.Protocol,
		},
	}
}

// merge returns the least upper bound of r and other, which must be of the same
// incarnation.
func (r record) merge(other record) record {
	r.Suspected, r.Refutation = mergeSuspicion(r, other)
	r.Draining = r.Draining || other.Draining
	r.Final = max(r.Final, other.Final)
	r.Successor = mergeSuccessor(r.Successor, other.Successor)
	if r.Details.less(other.Details) {
		r.Details = other.Details
	}
	return r
}

func mergeSuspicion(a, b record) (suspected bool, refutation uint32) {
	switch {
	case a.Refutation > b.Refutation:
		return a.Suspected, a.Refutation
	case b.Refutation > a.Refutation:
		return b.Suspected, b.Refutation
	default:
		return a.Suspected || b.Suspected, a.Refutation
	}
}

// mergeSuccessor picks one successor. An incarnation sets only one, so two different ones
// indicate a fault; all nodes then pick the same one.
func mergeSuccessor(a, b ident.Incarnation) ident.Incarnation {
	if a == "" || (b != "" && b < a) {
		return b
	}
	return a
}

// less is an arbitrary total order, so that all nodes keep the same one of two different
// details.
func (d details) less(other details) bool {
	if d.PeerAddress != other.PeerAddress {
		return d.PeerAddress < other.PeerAddress
	}
	if d.CallerURL != other.CallerURL {
		return d.CallerURL < other.CallerURL
	}
	if d.Region != other.Region {
		return d.Region < other.Region
	}
	if d.FailureDomain != other.FailureDomain {
		return d.FailureDomain < other.FailureDomain
	}
	if d.Protocol != other.Protocol {
		return d.Protocol < other.Protocol
	}
	return d.UnknownFields.less(other.UnknownFields)
}

// short returns the record without its details.
func (r record) short() record {
	r.Details = details{}
	return r
}

// complete reports whether the details are known.
func (r record) complete() bool {
	return r.Details.PeerAddress != ""
}

func (r record) state() State {
	switch {
	case r.Final == finalLeft:
		return StateLeft
	case r.Final == finalDead:
		return StateDead
	case r.Draining:
		return StateLeaving
	case r.Suspected:
		return StateSuspect
	default:
		return StateAlive
	}
}

func (r record) member() Member {
	return Member{
		Incarnation:   r.Incarnation,
		Node:          r.Incarnation.Node(),
		Region:        r.Details.Region,
		FailureDomain: r.Details.FailureDomain,
		CallerURL:     r.Details.CallerURL,
		PeerAddress:   r.Details.PeerAddress,
		Protocol:      r.Details.Protocol,
		State:         r.state(),
		Successor:     r.Successor,
	}
}

// hash returns the record's hash for the digest, including unknown fields.
func (r record) hash() uint64 {
	return xxhash.Sum64(encodeRecord(r, 0))
}

// flags encodes the boolean fields as bits.
func (r record) flags() (out byte) {
	if r.Suspected {
		out |= flagSuspected
	}
	if r.Draining {
		out |= flagDraining
	}
	return out
}
