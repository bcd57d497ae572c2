package historycheck

import (
	"time"

	"mangoledge.example/mangoledge/internal/verdict"
)

// Refusal is one refusal or failure that the caller received.
type Refusal struct {
	// ID is the request ID that was refused.
	ID      string
	Verdict verdict.Verdict
	At      time.Time
}
