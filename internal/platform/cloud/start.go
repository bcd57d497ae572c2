package cloud

// Start asks for one host.
type Start struct {
	// ClientToken names the start; the same token never gives a second host.
	ClientToken string `json:"clientToken"`
	Pool
}
