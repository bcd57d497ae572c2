package operator

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Command is a command with what comes beside its text.
type Command struct {
	Text string
	// Change names the change; made here when empty.
	Change ident.Change
	// Base is the version that a change was made from; 0 for the version in force.
	Base uint64
	// By is whose token it was.
	By string
}
