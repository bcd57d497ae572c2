package tables

import (
	"context"

	"mangoledge.example/mangoledge/internal/config"
)

// Change is a row of the table changes, which holds the latest changes of the
// configuration, oldest first.
type Change struct {
	ID      string `column:"id" doc:"the change's ID"`
	Base    int    `column:"base" doc:"version that it replaced"`
	Version int    `column:"version" doc:"version that it made"`
	Command string `column:"command" doc:"what it changed"`
}

// ProvideChanges fills the table changes from the changes that list returns; inForce gives
// the version that the latest one made.
func ProvideChanges(r *Registry, list func() []config.ChangeRecord, inForce config.View) {
	Provide(r, func(context.Context) ([]Change, error) {
		records := list()
		var out []Change
		for i, record := range records {
			out = append(out, Change{
				ID:      string(record.Change),
				Base:    int(record.Base),
				Version: int(versionMade(records, i, inForce.Current())),
				Command: record.Summary,
			})
		}
		return out, nil
	})
}

// versionMade returns the version that the change records[i] made: the one
// that the next change replaced, or for the latest change the one in force.
// It returns 0 when the latest change is not in force here yet.
func versionMade(records []config.ChangeRecord, i int, current *config.Site) uint64 {
	if i+1 < len(records) {
		return records[i+1].Base
	}
	if current != nil && current.Change == records[i].Change {
		return current.Version
	}
	return 0
}
