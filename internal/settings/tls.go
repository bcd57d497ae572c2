package settings

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
