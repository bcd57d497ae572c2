package cloud

// Start is a request for one host.
type Start struct {
	// ClientToken identifies the start; the same token never starts a second host.
	ClientToken string `json:"clientToken"`
	Pool
}
