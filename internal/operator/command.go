package operator

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Command is a command of the operators' language and its parameters.
type Command struct {
	Text string
	// Change is the ID of the change; Runner.Run generates one when it is empty.
	Change ident.Change
	// BaseVersion is the configuration version that the change is based on; 0 for the version in force.
	BaseVersion uint64
	// OperatorName is the name of the operator's token.
	OperatorName string
}
