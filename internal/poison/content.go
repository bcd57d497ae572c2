package poison

// Content is what a request asks an upstream to run, as far as other requests may ask for the same.
type Content struct {
	// Whole identifies the content as a whole.
	Whole Fingerprint
	// Parts identify the parts of its prompt that other requests may share, in order.
	Parts []Fingerprint
}

// String returns the fingerprint of the whole, as it appears in logs.
func (c Content) String() string { return c.Whole.String() }
