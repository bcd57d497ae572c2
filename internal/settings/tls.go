package settings

// TLS names the files of a listener's certificate.
type TLS struct {
	// CertFile is the path of the PEM certificate chain. Required.
	CertFile string `json:"certFile"`
	// KeyFile is the path of the PEM key. Required.
	KeyFile string `json:"keyFile"`
}

// PeerTLS names the files of the certificates with which nodes authenticate each other.
type PeerTLS struct {
	// CertFile is the path of the PEM certificate chain for the DNS name node.mangoledge. Required.
	CertFile string `json:"certFile"`
	// KeyFile is the path of the PEM key. Required.
	KeyFile string `json:"keyFile"`
	// CAFile is the path of the PEM file with the CA certificates that sign the certificates of all nodes. Required.
	CAFile string `json:"caFile"`
}
