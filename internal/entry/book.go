package entry

import (
	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/ident"
)

// Book tells callers which addresses to use; AddressBook is one.
type Book interface {
	// Addresses returns the addresses, or an error of verdict NotRun when this node knows too little.
	Addresses() (*callerapi.AddressBook, error)
	// Prefix makes a fresh request-ID prefix.
	Prefix() string
	// OwnID makes a request ID for a caller that brought none.
	OwnID() ident.RequestID
}
