// Package settings reads a node's JSON settings. They tell a process its
// addresses, failure domain and where the platform is; everything that
// operators declare for the whole site is in package config instead.
//
// Invariants: settings are checked as a whole before any is used; no fault, log
// or dump shows the value of a field tagged as secret.
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
	// Host is the platform's name of the node's host; reclaim notices name it. Default: Node.
	Host ident.Host `json:"host"`
	// CallerListen is IP and port of the listener for callers. Required.
	CallerListen string `json:"callerListen"`
	// CallerURL is the base URL handed out to callers. Default "http://" + CallerListen, or "https://" with TLS.
	CallerURL string `json:"callerUrl"`
	// OperatorListen is IP and port of the listener for operators, metrics and dumps. Required.
	OperatorListen string `json:"operatorListen"`
	// PeerListen is IP and port of the listener for other nodes, TCP and UDP. Required.
	PeerListen string `json:"peerListen"`
	// PeerAdvertise is the address other nodes reach PeerListen at. Default: PeerListen.
	PeerAdvertise string `json:"peerAdvertise"`
	// PeerToken is the secret that all nodes of a site share. Required.
	PeerToken string `json:"peerToken" secret:"true"`
	// Seeds are peer addresses of some nodes to join by. Default: none.
	Seeds []string `json:"seeds"`
	// Platform says where the platform's services are.
	Platform Platform `json:"platform"`
	// Tokens are the tokens that callers and operators may show.
	Tokens []Token `json:"tokens"`
	// TLS switches TLS on for the caller and operator listeners. Default: off.
	TLS *TLS `json:"tls,omitempty"`
	// PeerTLS switches TLS on for the TCP traffic between nodes; all nodes of a site
	// have it or none. Default: off, the traffic is authenticated but not encrypted.
	PeerTLS *PeerTLS `json:"peerTls,omitempty"`
	// Log says what is logged and how.
	Log Log `json:"log"`
	// Limits bound what callers may ask of this node.
	Limits Limits `json:"limits"`
}
