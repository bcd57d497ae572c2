package tables

import (
	"context"

	"mangoledge.example/mangoledge/internal/fleet"
)

// Upstream is a row of the table upstreams.
type Upstream struct {
	ID            string  `column:"id" doc:"the upstream's name"`
	State         string  `column:"state" doc:"starting, ready, leaving or gone"`
	Serves        string  `column:"serves" doc:"its models with commas, or its plain service"`
	Adapters      string  `column:"adapters" doc:"adapters loaded, with commas"`
	Host          string  `column:"host" doc:"the platform's name of its host"`
	HostClass     string  `column:"hostClass" doc:"class of the host"`
	Region        string  `column:"region" doc:"its region"`
	FailureDomain string  `column:"failureDomain" doc:"its failure domain"`
	Slots         int     `column:"slots" doc:"requests it runs at once"`
	PricePerHour  float64 `column:"pricePerHour" doc:"price of the host per hour, in the site's currency"`
	Reclaimable   bool    `column:"reclaimable" doc:"true when the platform may take the host"`
	ChecksFencing bool    `column:"checksFencing" doc:"true when it refuses orders with an old fencing number"`
	URL           string  `column:"url" doc:"base URL"`
}

// ProvideUpstreams fills the tables upstreams and hosts from view.
func ProvideUpstreams(r *Registry, view fleet.View) {
	Provide(r, func(context.Context) ([]Upstream, error) {
		var out []Upstream
		upstreams := view.Upstreams()
		for i := range upstreams {
			out = append(out, upstreamRow(&upstreams[i]))
		}
		return out, nil
	})
	provideHosts(r, view)
}

// upstreamRow returns the row of an upstream.
func upstreamRow(u *fleet.Upstream) Upstream {
	serves := string(u.Service)
	if serves == "" {
		serves = joinCommas(u.Models)
	}
	return Upstream{
		ID: string(u.ID), State: string(u.State), Serves: serves, Adapters: joinCommas(u.Adapters),
		Host: string(u.Host), HostClass: string(u.HostClass), Region: string(u.Region),
		FailureDomain: string(u.FailureDomain), Slots: u.Slots, PricePerHour: u.PricePerHour,
		Reclaimable: u.Reclaimable, ChecksFencing: u.ChecksFencing, URL: u.URL,
	}
}
