package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// Shape is a deployment of a size that the users name, with its work.
type Shape struct {
	// Name is what the table calls it.
	Name string
	// Nodes and Replicas are how many there are, spread over Domains failure domains.
	Nodes    int
	Replicas int
	Services int
	Domains  int
	// Latency is the weight of the latency target against cost.
	Latency float64
	// Length is how long work arrives, in virtual time.
	Length time.Duration
	// LostPart is the part of a domain's hosts that a reclaim takes.
	LostPart   float64
	kinds      []kind
	workspaces []workspace
}

// workspace is one of a shape's workspaces.
type workspace struct {
	name  ident.Workspace
	part  float64
	share float64
}

// fiveWorkspaces are two large workspaces and three small ones.
var fiveWorkspaces = []workspace{
	{name: "large-a", part: 0.45, share: 1},
	{name: "large-b", part: 0.30, share: 1},
	{name: "small-a", part: 0.10, share: 1},
	{name: "small-b", part: 0.10, share: 1},
	{name: "small-c", part: 0.05, share: 1},
}

// Cascadia returns the shape of the factory audits.
func Cascadia() Shape {
	return Shape{
		Name: "cascadia", Nodes: 7, Replicas: 18, Services: 3, Domains: 3, Latency: 0.8,
		Length: 3 * time.Minute, LostPart: 1, kinds: cascadiaKinds, workspaces: fiveWorkspaces,
	}
}

// Laoruum returns the shape of the warehouse listings.
func Laoruum() Shape {
	return Shape{
		Name: "laoruum", Nodes: 6, Replicas: 9, Services: 3, Domains: 3, Latency: 0.2,
		Length: 3 * time.Minute, LostPart: 1, kinds: laoruumKinds, workspaces: fiveWorkspaces,
	}
}

// Domain returns the shape of one failure domain of the two-year size.
func Domain() Shape {
	return Shape{
		Name: "domain", Nodes: 24, Replicas: 580, Services: 12, Domains: 1, Latency: 0.5,
		Length: 45 * time.Second, LostPart: 0.3, kinds: cascadiaKinds, workspaces: fiveWorkspaces,
	}
}

// scale returns t, given for a minute of work, for the shape's length.
func (s *Shape) scale(t time.Duration) time.Duration {
	return time.Duration(float64(t) * float64(s.Length) / float64(time.Minute))
}
