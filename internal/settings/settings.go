// Package settings reads a node's JSON settings: its addresses, failure domain, tokens,
// limits and the base URLs of the platform. What operators declare for the whole site is
// in package config instead.
//
// Invariants: all settings are checked before any is used; the value of a field
// tagged as secret appears in no fault, log or dump.
package settings

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// Settings are the settings of one node.
type Settings struct {
	// Node is the node's name, of a-z, 0-9 and "-", at most 40 characters. Required.
	Node ident.Node `json:"node"`
	// Region is the node's region. Default "default".
	Region ident.Region `json:"region"`
	// FailureDomain is the failure domain of the node's host. Required.
	FailureDomain ident.FailureDomain `json:"failureDomain"`
	// Host is the platform's name for the node's host, as used in reclaim notices. Default: Node.
	Host ident.Host `json:"host"`
	// CallerListen is the IP address and port of the listener for callers. Required.
	CallerListen string `json:"callerListen"`
	// CallerURL is the base URL that callers are given for this node. Default "http://" + CallerListen, or "https://" with TLS.
	CallerURL string `json:"callerUrl"`
	// OperatorListen is the IP address and port of the listener for operators, metrics and dumps. Required.
	OperatorListen string `json:"operatorListen"`
	// PeerListen is the IP address and port of the listeners for other nodes, TCP and UDP. Required.
	PeerListen string `json:"peerListen"`
	// PeerAdvertise is the address at which other nodes reach PeerListen. Default: PeerListen.
	PeerAdvertise string `json:"peerAdvertise"`
	// PeerToken is the secret that all nodes of a site share. Required.
	PeerToken string `json:"peerToken" secret:"true"`
	// Seeds are the peer addresses of some nodes through which this node joins the site. Default: none.
	Seeds []string `json:"seeds"`
	// Platform holds the base URLs of the platform's services and the token for them.
	Platform Platform `json:"platform"`
	// Tokens are the tokens that callers and operators may authenticate with.
	Tokens []Token `json:"tokens"`
	// TLS enables TLS on the caller and operator listeners. Default: off.
	TLS *TLS `json:"tls,omitempty"`
	// PeerTLS enables TLS for TCP traffic between nodes; it must be set on all nodes of a
	// site or on none. Default: off; the traffic is then authenticated but not encrypted.
	PeerTLS *PeerTLS `json:"peerTls,omitempty"`
	// Log configures the log.
	Log Log `json:"log"`
	// Limits bound the requests of callers, the resources that they use and the time that they take.
	Limits Limits `json:"limits"`
}
