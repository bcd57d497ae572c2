package tables

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/poison"
)

// Poison is a row of the table poison: content that crashed upstreams.
type Poison struct {
	ID        string `column:"id" doc:"digest of the content"`
	Crashes   int    `column:"crashes" doc:"crashes that count against it"`
	Refused   bool   `column:"refused" doc:"true when it is refused from now on"`
	ClearedAt string `column:"clearedAt" doc:"when an operator cleared it last, UTC"`
}

// ProvidePoison fills the table poison from what registry knows.
func ProvidePoison(r *Registry, registry *poison.Registry) {
	Provide(r, func(context.Context) ([]Poison, error) {
		return rowsOf(registry.Snapshot(), func(e poison.Entry) Poison {
			return Poison{
				ID:        PoisonID(e.Fingerprint),
				Crashes:   e.Count(),
				Refused:   e.Quarantined(),
				ClearedAt: clearedAt(&e),
			}
		}), nil
	})
}

func clearedAt(e *poison.Entry) string {
	if e.ClearedAt == 0 {
		return ""
	}
	return utc(time.Unix(e.ClearedAt, 0))
}

// PoisonID returns the name of a content in the table poison.
func PoisonID(f poison.Fingerprint) string {
	return fmt.Sprintf("%016x", uint64(f))
}

// ParsePoisonID undoes PoisonID.
func ParsePoisonID(text string) (poison.Fingerprint, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	return poison.Fingerprint(n), err
}
