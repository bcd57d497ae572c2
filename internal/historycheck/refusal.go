package historycheck

import (
	"time"

	"mangoledge.example/mangoledge/internal/verdict"
)

// Refusal is one refusal or failure as the caller was told.
type Refusal struct {
	ID      string
	Verdict verdict.Verdict
	At      time.Time
}
