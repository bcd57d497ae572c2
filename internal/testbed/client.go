package testbed

import (
	"mangoledge.example/mangoledge/internal/callerclient"
	"mangoledge.example/mangoledge/internal/ident"
)

// Client returns a client for callers of workspace, with nodes as its seeds.
func (b *Bed) Client(workspace ident.Workspace, nodes ...*Node) *callerclient.Client {
	var seeds []string
	for _, n := range nodes {
		seeds = append(seeds, n.Settings.CallerURL)
	}
	return callerclient.New(callerclient.Options{Seeds: seeds, Token: CallerToken(workspace)})
}
