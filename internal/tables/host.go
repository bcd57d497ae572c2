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

func provideHosts(r *Registry, view fleet.View) {
	Provide(r, func(context.Context) ([]Host, error) {
		return hostRows(view.Upstreams()), nil
	})
}

// hostRows groups upstreams by host; a host is leaving when one of its upstreams is.
func hostRows(upstreams []fleet.Upstream) []Host {
	at := make(map[ident.Host]int)
	var out []Host
	for i := range upstreams {
		u := &upstreams[i]
		n, known := at[u.Host]
		if !known {
			n = len(out)
			at[u.Host] = n
			out = append(out, Host{
				ID: string(u.Host), State: hostState(u.State), FailureDomain: string(u.FailureDomain),
				HostClass: string(u.HostClass), Reclaimable: u.Reclaimable, PricePerHour: u.PricePerHour,
			})
		}
		out[n].Upstreams++
		if u.State == fleet.StateLeaving {
			out[n].State = string(fleet.StateLeaving)
		}
	}
	return out
}

// hostState names the state of a host after that of an upstream on it.
func hostState(state fleet.State) string {
	if state == fleet.StateReady {
		return "live"
	}
	return string(state)
}
