package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// Shape is a deployment of a given size together with its work.
type Shape struct {
	// Name is its name in the table.
	Name string
	// Nodes, Replicas and Services are how many nodes, model replicas and plain services
	// there are, spread over Domains failure domains.
	Nodes    int
	Replicas int
	Services int
	Domains  int
	// Latency is the weight of the latency target against cost.
	Latency float64
	// Duration is how long requests arrive, in virtual time.
	Duration time.Duration
	// LostFraction is the fraction of a domain's model hosts that a reclaim takes.
	LostFraction float64
	kinds        []kind
	workspaces   []workspace
}

// workspace is a workspace of a shape. fraction is its fraction of all requests, share its
// weight in the fair division of capacity.
type workspace struct {
	name     ident.Workspace
	fraction float64
	share    float64
}

// fiveWorkspaces are two large workspaces and three small ones.
var fiveWorkspaces = []workspace{
	{name: "large-a", fraction: 0.45, share: 1},
	{name: "large-b", fraction: 0.30, share: 1},
	{name: "small-a", fraction: 0.10, share: 1},
	{name: "small-b", fraction: 0.10, share: 1},
	{name: "small-c", fraction: 0.05, share: 1},
}

// Cascadia returns the deployment that serves factory audits.
func Cascadia() Shape {
	return Shape{
		Name: "cascadia", Nodes: 7, Replicas: 18, Services: 3, Domains: 3, Latency: 0.8,
		Duration: 3 * time.Minute, LostFraction: 1, kinds: cascadiaKinds, workspaces: fiveWorkspaces,
	}
}

// Laoruum returns the deployment that serves warehouse listings.
func Laoruum() Shape {
	return Shape{
		Name: "laoruum", Nodes: 6, Replicas: 9, Services: 3, Domains: 3, Latency: 0.2,
		Duration: 3 * time.Minute, LostFraction: 1, kinds: laoruumKinds, workspaces: fiveWorkspaces,
	}
}

// Domain returns one failure domain of the size that is expected in two years.
func Domain() Shape {
	return Shape{
		Name: "domain", Nodes: 24, Replicas: 580, Services: 12, Domains: 1, Latency: 0.5,
		Duration: 45 * time.Second, LostFraction: 0.3, kinds: cascadiaKinds, workspaces: fiveWorkspaces,
	}
}

// scale converts a time that is given for a run of one minute to the shape's duration.
func (s *Shape) scale(t time.Duration) time.Duration {
	return time.Duration(float64(t) * float64(s.Duration) / float64(time.Minute))
}
