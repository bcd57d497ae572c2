package dispatch

import (
	"mangoledge.example/mangoledge/internal/recovery"
)

// Recoveries counts the streams that continued after their upstream left or was lost.
type Recoveries interface {
	// Recovered counts one stream that continued by method; recomputed is the
	// approximate number of tokens computed again.
	Recovered(method recovery.Method, recomputed int)
}
