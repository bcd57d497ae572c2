package tables

import (
	"context"

	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
)

// Host is a row of the table hosts.
type Host struct {
	ID            string  `column:"id" doc:"the platform's name"`
	State         string  `column:"state" doc:"starting, live, leaving or gone"`
	FailureDomain string  `column:"failureDomain" doc:"its failure domain"`
	HostClass     string  `column:"hostClass" doc:"its class"`
	Reclaimable   bool    `column:"reclaimable" doc:"true when the platform may take it"`
	PricePerHour  float64 `column:"pricePerHour" doc:"price per hour, in the site's currency"`
	Upstreams     int     `column:"upstreams" doc:"upstreams on it"`
}

// provideHosts fills the table hosts from the upstreams of view.
func provideHosts(r *Registry, view fleet.View) {
	Provide(r, func(context.Context) ([]Host, error) {
		return hostRows(view.Upstreams()), nil
	})
}

// hostRows groups upstreams by host; a host is leaving when one of its upstreams is.
func hostRows(upstreams []fleet.Upstream) []Host {
	index := make(map[ident.Host]int)
	var out []Host
	for i := range upstreams {
		u := &upstreams[i]
		row, known := index[u.Host]
		if !known {
			row = len(out)
			index[u.Host] = row
			out = append(out, Host{
				ID: string(u.Host), State: hostState(u.State), FailureDomain: string(u.FailureDomain),
				HostClass: string(u.HostClass), Reclaimable: u.Reclaimable, PricePerHour: u.PricePerHour,
			})
		}
		out[row].Upstreams++
		if u.State == fleet.StateLeaving {
			out[row].State = string(fleet.StateLeaving)
		}
	}
	return out
}

// hostState returns the state of a host that has an upstream in the given state.
func hostState(state fleet.State) string {
	if state == fleet.StateReady {
		return "live"
	}
	return string(state)
}
