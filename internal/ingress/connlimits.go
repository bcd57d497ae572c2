package ingress

const (
	// reservedDescriptors of a process are for files, and not for sockets.
	reservedDescriptors = 200
	// clientSocketPercent is the part of a process's sockets that client connections may take, in percent.
	// Connections to upstreams need as many again.
	clientSocketPercent = 40
	// internalSocketPercent is the part that the connections of each other listener may take, in percent,
	// but at least minInternalConns.
	internalSocketPercent = 4
	minInternalConns      = 16
	// connMemoryPercent is the part of a process's memory limit that client connections may take, in
	// percent, and connBytes what one of them takes: in the process, and not yet read.
	connMemoryPercent = 25
	connBytes         = 24<<10 + kernelBufferFactor*baseReceiveBuffer
	// headMemoryPercent is the part that the heads of requests may take while they arrive, in percent.
	headMemoryPercent = 6
	// defaultMaxConns and defaultMaxHeads (in bytes) are the limits of a process without limits.
	defaultMaxConns = 1 << 14
	defaultMaxHeads = 64 << 20
)

// ConnLimits bound the connections of one listener.
type ConnLimits struct {
	// Conns is the number of open connections.
	Conns int
	// HeadBytes is the sum of the request heads that have not arrived whole.
	HeadBytes int64
}

// ClientConnLimits returns the limits of the listener for clients, from the process's limits of
// descriptors and of memory in MB; 0 means no limit.
func ClientConnLimits(maxDescriptors, memoryMB int) ConnLimits {
	out := ConnLimits{Conns: defaultMaxConns, HeadBytes: defaultMaxHeads}
	if maxDescriptors > 0 {
		out.Conns = min(out.Conns, max(minInternalConns, sockets(maxDescriptors)*clientSocketPercent/100))
	}
	if memoryMB > 0 {
		memory := int64(memoryMB) << 20
		out.Conns = min(out.Conns, max(minInternalConns, int(memory*connMemoryPercent/100/connBytes)))
		out.HeadBytes = memory * headMemoryPercent / 100
	}
	return out
}

// InternalConnLimits returns the limits of each other listener.
func InternalConnLimits(maxDescriptors, memoryMB int) ConnLimits {
	out := ClientConnLimits(maxDescriptors, memoryMB)
	out.Conns = max(minInternalConns, out.Conns*internalSocketPercent/clientSocketPercent)
	out.HeadBytes /= minInternalConns
	return out
}

func sockets(maxDescriptors int) int { return max(0, maxDescriptors-reservedDescriptors) }
