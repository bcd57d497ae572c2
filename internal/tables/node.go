package tables

import (
	"context"

	"mangoledge.example/mangoledge/internal/membership"
)

// Node is a row of the table nodes: one incarnation of a node as this node knows it.
type Node struct {
	Node          string `column:"node" doc:"the node's name"`
	Incarnation   string `column:"incarnation" doc:"this run of its process"`
	Region        string `column:"region" doc:"its region"`
	FailureDomain string `column:"failureDomain" doc:"its failure domain"`
	Protocol      int    `column:"protocol" doc:"the protocol that it speaks with other nodes; nodes of two releases may differ"`
	State         string `column:"state" doc:"alive, suspect, leaving, dead or left"`
	CallerURL     string `column:"callerUrl" doc:"base URL for callers"`
	PeerAddress   string `column:"peerAddress" doc:"address for other nodes"`
	Successor     string `column:"successor" doc:"who took over its witness table"`
}

// ProvideNodes fills the table nodes from view.
func ProvideNodes(r *Registry, view membership.View) {
	Provide(r, func(context.Context) ([]Node, error) {
		var out []Node
		for _, m := range view.Members() {
			out = append(out, Node{
				Node: string(m.Node), Incarnation: string(m.Incarnation), Region: string(m.Region),
				FailureDomain: string(m.FailureDomain), Protocol: int(m.Protocol), State: m.State.String(), CallerURL: m.CallerURL,
				PeerAddress: m.PeerAddress, Successor: string(m.Successor),
			})
		}
		return out, nil
	})
}
