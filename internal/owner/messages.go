package owner

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

// ServiceName is the name that Service is registered under.
const ServiceName = "Owner"

// Methods of Service as net/rpc spells them.
const (
	MethodReserve = ServiceName + ".Reserve"
	MethodRelease = ServiceName + ".Release"
	MethodRenew   = ServiceName + ".Renew"
)

// ReservationID names a reservation: its holder and the holder's own number.
type ReservationID struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Holder ident.IncarnationHash
	Serial uint64
}

// ReserveArgs asks for a slot at one of the owner's upstreams.
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
	// Urgency orders the requests in line.
	Urgency request.Urgency
	// Avoid is an upstream that lately failed this request, or empty.
	Avoid ident.Upstream
	// Suspect is true when the content was running at an upstream that crashed.
	Suspect bool
	// Hold is how long the reservation lasts without a release or a renewal;
	// DefaultHold when it is 0.
	Hold time.Duration
	// Pressing is true when the request must have a place soon or is given up.
	Pressing bool
}

// Features returns what the choice depends on.
func (a *ReserveArgs) Features() routing.Features {
	return routing.Features{
		Model: a.Model, Adapter: a.Adapter, Service: a.Service, Blocks: a.Blocks,
		PromptTokens: a.PromptTokens, MaxTokens: a.MaxTokens,
		Avoid: a.Avoid, Suspect: a.Suspect, Pressing: a.Pressing,
	}
}

// ReserveReply is the answer to ReserveArgs. A refusal is no error: it says
// when a slot is likely and how full the owner is.
type ReserveReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Granted is true when Upstream is the request's place.
	Granted bool
	// Wait is true when all slots of Upstream are taken and the request is in line
	// for the next one. Engines that queue may be sent the request at once; for
	// others the holder asks again with the same ID, after Pause, until Wait is false.
	Wait bool
	// Ahead is how many requests in line come before this one.
	Ahead    int
	Upstream ident.Upstream
	// CachedTokens is how many leading tokens of the prompt Upstream is believed to have cached.
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

	// Known is false when the reservation had ended before.
	Known bool
}

// RenewArgs has reservations of one holder last for their whole time again.
type RenewArgs struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Holder  ident.IncarnationHash
	Serials []uint64
}

// RenewReply answers RenewArgs.
type RenewReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	// Unknown are those that had ended before.
	Unknown []uint64
}

// askInLine is how long the first in line waits until it asks again.
const askInLine = 20 * time.Millisecond

// Pause returns how long a request that waits in line should take until it asks
// again: the longer, the more come before it, so that a long line asks little.
func (r *ReserveReply) Pause() time.Duration {
	return askInLine * time.Duration(1+r.Ahead)
}
