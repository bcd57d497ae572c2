package settings

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
