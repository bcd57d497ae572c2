package tables

import (
	"context"

	"mangoledge.example/mangoledge/internal/config"
	"mangoledge.example/mangoledge/internal/fleet"
)

// Drain is a row of the table drains.
type Drain struct {
	ID        string `column:"id" doc:"what is drained, host/<id> or upstream/<id>"`
	Change    string `column:"change" doc:"the change that asked for it"`
	Upstreams int    `column:"upstreams" doc:"upstreams that it keeps new work from, as this node knows"`
}

// ProvideDrains fills the table drains from the configuration.
func ProvideDrains(r *Registry, view config.View, upstreams fleet.View) {
	Provide(r, func(context.Context) ([]Drain, error) {
		site := view.Current()
		if site == nil {
			return nil, nil
		}
		return rowsOf(site.Drains, func(d config.Drain) Drain {
			return Drain{ID: d.Key(), Change: string(d.Change), Upstreams: CountDrained(upstreams, &d)}
		}), nil
	})
}

// CountDrained returns the number of upstreams that a drain applies to.
func CountDrained(view fleet.View, drain *config.Drain) int {
	n := 0
	upstreams := view.Upstreams()
	for i := range upstreams {
		if drain.Covers(upstreams[i].Host, upstreams[i].ID) {
			n++
		}
	}
	return n
}
