package dispatch

import (
	"mangoledge.example/mangoledge/internal/recovery"
)

// Recoveries counts how streams went on whose upstream left or was lost.
type Recoveries interface {
	// Recovered counts one stream that went on by method, for which about so many
	// tokens were computed again.
	Recovered(method recovery.Method, recomputed int)
}
