package tables

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/poison"
)

// Poison is a row of the table poison: content that crashed upstreams, by its fingerprint.
type Poison struct {
	ID        string `column:"id" doc:"digest of the content"`
	Crashes   int    `column:"crashes" doc:"crashes that count against it"`
	Refused   bool   `column:"refused" doc:"true when it is refused from now on"`
	ClearedAt string `column:"clearedAt" doc:"when an operator cleared it last, UTC"`
}

// ProvidePoison fills the table poison from the entries of registry.
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

// clearedAt returns the time at which e was cleared last, or "" if it never was.
func clearedAt(e *poison.Entry) string {
	if e.ClearedAt == 0 {
		return ""
	}
	return formatUTC(time.Unix(e.ClearedAt, 0))
}

// PoisonID returns the ID of content in the table poison: its fingerprint in hex.
func PoisonID(f poison.Fingerprint) string {
	return fmt.Sprintf("%016x", uint64(f))
}

// ParsePoisonID parses an ID that PoisonID returned.
func ParsePoisonID(text string) (poison.Fingerprint, error) {
	n, err := strconv.ParseUint(text, 16, 64)
	return poison.Fingerprint(n), err
}
