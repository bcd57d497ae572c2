package owner

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

// ServiceName is the net/rpc name of Service.
const ServiceName = "Owner"

// Full net/rpc names of the methods of Service.
const (
	MethodReserve = ServiceName + ".Reserve"
	MethodRelease = ServiceName + ".Release"
	MethodRenew   = ServiceName + ".Renew"
)

// ReservationID identifies a reservation by its holder and a number that the holder
// assigns.
type ReservationID struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Holder ident.IncarnationHash
	Serial uint64
}

// ReserveArgs requests a slot at one of the owner's upstreams.
type ReserveArgs struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID      ReservationID
	Model   ident.Model
	Adapter ident.Adapter
	Service ident.Service
	// Blocks are the blocks of the prompt's prefix.
	Blocks       []routing.Block
	PromptTokens int
	MaxTokens    int
	// Urgency orders the waiting requests; higher values come first.
	Urgency request.Urgency
	// Avoid is an upstream at which this request recently failed, or empty.
	Avoid ident.Upstream
	// Suspect is true when an upstream crashed while it ran the same content.
	Suspect bool
	// Hold is how long the reservation lasts without renewal; 0 means
	// DefaultReservationTTL.
	Hold time.Duration
	// Pressing is true when the request is given up unless it gets a slot soon.
	Pressing bool
}

// Features returns the properties of the request that the choice depends on.
func (a *ReserveArgs) Features() routing.Features {
	return routing.Features{
		Model: a.Model, Adapter: a.Adapter, Service: a.Service, Blocks: a.Blocks,
		PromptTokens: a.PromptTokens, MaxTokens: a.MaxTokens,
		Avoid: a.Avoid, Suspect: a.Suspect, Pressing: a.Pressing,
	}
}

// ReserveReply answers ReserveArgs. A refusal is not an error: Granted is false,
// and Summary tells how full the owner is.
type ReserveReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Granted is true when the request is to run at Upstream.
	Granted bool
	// Wait is true when all slots of Upstream are taken and the request waits for
	// one. Engines with a queue of their own may be sent the request at once; for
	// others the holder calls again with the same ID, after PollInterval, until Wait
	// is false.
	Wait bool
	// Ahead is the number of waiting requests that get a slot before this one.
	Ahead    int
	Upstream ident.Upstream
	// CachedTokens is the estimated number of leading tokens of the prompt that
	// Upstream has cached.
	CachedTokens int
	// Summary is the owner's state after the decision.
	Summary Summary
}

// ReleaseArgs ends a reservation.
type ReleaseArgs struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	ID      ReservationID
	Outcome routing.Outcome
}

// ReleaseReply answers ReleaseArgs.
type ReleaseReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Known is false when the reservation had already ended.
	Known bool
}

// RenewArgs restarts the lifetime of reservations of one holder.
type RenewArgs struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Holder  ident.IncarnationHash
	Serials []uint64
}

// RenewReply answers RenewArgs.
type RenewReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Unknown are the serials of reservations that had already ended.
	Unknown []uint64
}

// basePollInterval is the poll interval of the first waiting request.
const basePollInterval = 20 * time.Millisecond

// PollInterval returns how long a waiting request should wait before it calls
// Reserve again. It grows with Ahead, so that a long queue causes few calls.
func (r *ReserveReply) PollInterval() time.Duration {
	return basePollInterval * time.Duration(1+r.Ahead)
}
