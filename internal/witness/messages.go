package witness

import "mangoledge.example/mangoledge/internal/ident"

// OfferRequest asks a node to take a table over.
type OfferRequest struct {
	Witness   ident.Incarnation
	Successor ident.Incarnation
}

// ChunkRequest carries one part of a closed table to its successor.
type ChunkRequest struct {
	Witness   ident.Incarnation
	Successor ident.Incarnation
	// Index counts the parts from 0.
	Index int
	// Data is an encoded grant.Snapshot.
	Data []byte
}

// InstallRequest tells the successor that it has been sent every part.
type InstallRequest struct {
	Witness   ident.Incarnation
	Successor ident.Incarnation
	// Count is the number of parts.
	Count int
}

// Ack answers the messages of a hand-over.
type Ack struct {
	// OK is true when the message was taken in.
	OK bool
}
