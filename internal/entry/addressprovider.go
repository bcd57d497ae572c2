package entry

import (
	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/ident"
)

// AddressProvider provides addresses and request IDs to callers; AddressBook implements it.
type AddressProvider interface {
	// Addresses returns the addresses to use. The error has the verdict NotRun; it means that this
	// node is stale or that no node accepts work.
	Addresses() (*callerapi.AddressBook, error)
	// Prefix generates a request-ID prefix.
	Prefix() string
	// OwnID generates a request ID for a caller that sent none.
	OwnID() ident.RequestID
}
