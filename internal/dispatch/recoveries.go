package dispatch

import (
	"mangoledge.example/mangoledge/internal/recovery"
)

// RecoveryCounter counts the streams that continued after their upstream left or was lost.
type RecoveryCounter interface {
	// Recovered counts one stream that continued by method; recomputed is the
	// approximate number of tokens computed again.
	Recovered(method recovery.Method, recomputed int)
}
