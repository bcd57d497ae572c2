package membership

import (
	"github.com/cespare/xxhash/v2"

	"mangoledge.example/mangoledge/internal/ident"
)

// finality says whether an incarnation has ended, and how.
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

// record is what is known of one incarnation. Records of one incarnation form a
// join semilattice under join: the order in which news arrives, its loss and its
// repetition don't matter.
type record struct {
	Incarnation ident.Incarnation
	// Refutation is raised by the incarnation itself each time it denies a suspicion.
	Refutation uint32
	// Suspected is true when somebody could not reach the incarnation since Refutation.
	Suspected bool
	// Draining is true when the incarnation takes no new duties any more.
	Draining  bool
	Final     finality
	Successor ident.Incarnation
	Details   details
}

// details never change during one incarnation; short records leave them empty.
type details struct {
	PeerAddress   string
	CallerURL     string
	Region        ident.Region
	FailureDomain ident.FailureDomain
	Protocol      Protocol
	Surplus       surplus
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

// join returns the least record that says all that r and other say. Both must be of one incarnation.
func (r record) join(other record) record {
	r.Suspected, r.Refutation = joinSuspicion(r, other)
	r.Draining = r.Draining || other.Draining
	r.Final = max(r.Final, other.Final)
	r.Successor = joinSuccessor(r.Successor, other.Successor)
	if r.Details.less(other.Details) {
		r.Details = other.Details
	}
	return r
}

func joinSuspicion(a, b record) (suspected bool, refutation uint32) {
	switch {
	case a.Refutation > b.Refutation:
		return a.Suspected, a.Refutation
	case b.Refutation > a.Refutation:
		return b.Suspected, b.Refutation
	default:
		return a.Suspected || b.Suspected, a.Refutation
	}
}

// joinSuccessor keeps the one successor. An incarnation names only one, so two
// different ones mean a fault; every node then keeps the same of the two.
func joinSuccessor(a, b ident.Incarnation) ident.Incarnation {
	if a == "" || (b != "" && b < a) {
		return b
	}
	return a
}

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
	return d.Surplus.less(other.Surplus)
}

// short returns the record without what never changes.
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

// hash digests all that the record says, also what only a later release understands.
func (r record) hash() uint64 {
	return xxhash.Sum64(encodeRecord(r, 0))
}

// flags packs what is true or false.
func (r record) flags() (out byte) {
	if r.Suspected {
		out |= flagSuspected
	}
	if r.Draining {
		out |= flagDraining
	}
	return out
}
