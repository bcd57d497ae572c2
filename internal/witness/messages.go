package witness

import "mangoledge.example/mangoledge/internal/ident"

// OfferRequest asks a node to take over a table.
type OfferRequest struct {
	Witness   ident.Incarnation
	Successor ident.Incarnation
}

// ChunkRequest carries one part of a closed table to its successor.
type ChunkRequest struct {
	Witness   ident.Incarnation
	Successor ident.Incarnation
	// Index is the number of the part, from 0.
	Index int
	// Data is an encoded grant.Snapshot.
	Data []byte
}

// InstallRequest tells the successor that every part has been sent.
type InstallRequest struct {
	Witness   ident.Incarnation
	Successor ident.Incarnation
	// Count is the number of parts.
	Count int
}

// Ack answers the messages of a hand-over.
type Ack struct {
	// OK is true when the message was accepted.
	OK bool
}
