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

// Platform says where the platform's services are. All are base URLs.
type Platform struct {
	// ObjectsURL is the object API. Required.
	ObjectsURL string `json:"objectsUrl"`
	// CloudURL is the cloud API. Default: none; the node then starts and stops no hosts.
	CloudURL string `json:"cloudUrl"`
	// HostListURL is the list of hosts. Default: none.
	HostListURL string `json:"hostListUrl"`
	// WeightsURL is the weight store. Default: none.
	WeightsURL string `json:"weightsUrl"`
	// Token is shown to the platform as a bearer token. Default: none.
	Token string `json:"token" secret:"true"`
}

// Role is what the bearer of a token may do.
type Role string

// The roles.
const (
	RoleCaller   Role = "caller"
	RoleOperator Role = "operator"
)

// Token is a token that a caller or operator may show, kept as its digest.
type Token struct {
	// Name tells whose token it is, in logs. Required.
	Name string `json:"name"`
	// Role is "caller" or "operator". Required.
	Role Role `json:"role"`
	// Workspace is the caller's workspace. Required for callers.
	Workspace ident.Workspace `json:"workspace,omitempty"`
	// SHA256 is the token's SHA-256 digest in hexadecimal. Required.
	SHA256 string `json:"sha256" secret:"true"`
}

// TLS names the files of a listener's certificate.
type TLS struct {
	// CertFile is the path of the PEM certificate chain. Required.
	CertFile string `json:"certFile"`
	// KeyFile is the path of the PEM key. Required.
	KeyFile string `json:"keyFile"`
}

// PeerTLS names the files by which nodes know each other.
type PeerTLS struct {
	// CertFile is the path of the PEM certificate chain for the DNS name node.mangoledge. Required.
	CertFile string `json:"certFile"`
	// KeyFile is the path of the PEM key. Required.
	KeyFile string `json:"keyFile"`
	// CAFile is the path of the PEM certificates that sign those of all nodes. Required.
	CAFile string `json:"caFile"`
}

// Log says what is logged and how.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level string `json:"level"`
	// Format is "text" or "json". Default "text".
	Format string `json:"format"`
}

// Limits bound what callers may ask of this node.
type Limits struct {
	// MaxBodyBytes is the largest request body in bytes. Default 2097152.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MaxHeaderBytes is the largest request header in bytes. Default 16384.
	MaxHeaderBytes int `json:"maxHeaderBytes"`
	// MaxProcessors is the most processors that the process works on at once. More
	// cost processor time for waking each other. Default 2; the host's number when
	// it has fewer.
	MaxProcessors int `json:"maxProcessors"`
	// MaxConcurrent is the most caller requests in progress at once. Default 4096.
	MaxConcurrent int `json:"maxConcurrent"`
	// HeaderTimeoutMs is how long a caller may take to send its header, in milliseconds. Default 5000.
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	// BodyTimeoutMs is how long a caller may take to send its body, in milliseconds. Default 30000.
	BodyTimeoutMs int `json:"bodyTimeoutMs"`
	// DrainTimeoutMs is how long a planned stop waits for requests in progress, in milliseconds. Default 600000.
	DrainTimeoutMs int `json:"drainTimeoutMs"`
	// AddressKeepMs is how long callers may keep the addresses, in milliseconds. Default 10000.
	AddressKeepMs int `json:"addressKeepMs"`
}
