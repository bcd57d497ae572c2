package settings

// Limits bound the requests of callers, the resources that they use and the time that they take.
type Limits struct {
	// MaxBodyBytes is the largest request body in bytes. Default 2097152.
	MaxBodyBytes int64 `json:"maxBodyBytes"`
	// MemoryMB is the memory of the process in MB, with what its clients have sent and it has not read.
	// Requests beyond it are refused. At least 16 times MaxBodyBytes. Default 512, or as much as that if it is more.
	MemoryMB int `json:"memoryMb"`
	// MaxHeaderBytes is the largest request header in bytes. Default 16384.
	MaxHeaderBytes int `json:"maxHeaderBytes"`
	// MaxProcessors is the maximum number of processors that the process uses at once. More
	// processors cost processor time for waking each other. Default 2; the
	// host's number of processors if that is lower.
	MaxProcessors int `json:"maxProcessors"`
	// MaxConcurrent is the maximum number of caller requests in progress at once. Default 4096.
	MaxConcurrent int `json:"maxConcurrent"`
	// HeaderTimeoutMs is how long a caller may take to send its header, in milliseconds. Default 5000.
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	// BodyTimeoutMs is how long a caller may take to send its body, in milliseconds. Default 30000.
	BodyTimeoutMs int `json:"bodyTimeoutMs"`
	// DrainTimeoutMs is how long a planned stop waits for requests in progress, in milliseconds. Default 600000.
	DrainTimeoutMs int `json:"drainTimeoutMs"`
	// AddressKeepMs is how long callers may cache the list of node addresses, in milliseconds. Default 10000.
	AddressKeepMs int `json:"addressKeepMs"`
}
