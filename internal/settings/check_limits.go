package settings

import "fmt"

// The ranges of the limits. Sizes are in bytes, times in milliseconds.
const (
	minBodyBytes   = 1 << 10
	maxBodyBytes   = 64 << 20
	minHeaderBytes = 1 << 10
	maxHeaderBytes = 1 << 20
	maxConcurrent  = 1_000_000
	maxProcessors  = 1024
	minMemoryMB    = 64
	// DefaultMemoryMB is the memory limit of settings that have none, in MB.
	DefaultMemoryMB = 512
	maxMemoryMB     = 1 << 20
	// memoryPerBodyByte is how many bytes of memory the process needs for each byte of the largest body, so
	// that one such body is served.
	memoryPerBodyByte = 16
	minTimeoutMs      = 10
	maxTimeoutMs      = 600_000
	maxDrainMs        = 24 * 3_600_000
	maxAddressKeepMs  = 3_600_000
)

// memoryNeeded returns the memory, in MB, with which a process can serve a body of the given size, or 0 for a
// size that isn't allowed.
func memoryNeeded(bodyBytes int64) int {
	if bodyBytes < minBodyBytes || bodyBytes > maxBodyBytes {
		return 0
	}
	return int((bodyBytes*memoryPerBodyByte + 1<<20 - 1) >> 20)
}

func (c *checker) checkLimits(l *Limits) {
	c.checkRange("limits.maxBodyBytes", l.MaxBodyBytes, minBodyBytes, maxBodyBytes, "bytes")
	c.checkRange("limits.maxHeaderBytes", int64(l.MaxHeaderBytes), minHeaderBytes, maxHeaderBytes, "bytes")
	c.checkRange("limits.maxConcurrent", int64(l.MaxConcurrent), 1, maxConcurrent, "requests")
	c.checkRange("limits.memoryMb", int64(l.MemoryMB), minMemoryMB, maxMemoryMB, "MB")
	if needed := memoryNeeded(l.MaxBodyBytes); l.MemoryMB < needed {
		c.addFault("limits.memoryMb", l.MemoryMB, fmt.Sprintf("a limits.maxBodyBytes of %d needs %d MB or more", l.MaxBodyBytes, needed))
	}
	c.checkRange("limits.maxProcessors", int64(l.MaxProcessors), 1, maxProcessors, "processors")
	c.checkRange("limits.headerTimeoutMs", int64(l.HeaderTimeoutMs), minTimeoutMs, maxTimeoutMs, "milliseconds")
	c.checkRange("limits.bodyTimeoutMs", int64(l.BodyTimeoutMs), minTimeoutMs, maxTimeoutMs, "milliseconds")
	c.checkRange("limits.drainTimeoutMs", int64(l.DrainTimeoutMs), minTimeoutMs, maxDrainMs, "milliseconds")
	c.checkRange("limits.addressKeepMs", int64(l.AddressKeepMs), minTimeoutMs, maxAddressKeepMs, "milliseconds")
}

// checkRange adds a fault if value is not from low to high, both included.
func (c *checker) checkRange(path string, value, low, high int64, unit string) {
	if value < low || value > high {
		c.addFault(path, value, fmt.Sprintf("%d to %d %s are allowed, or 0 for the default", low, high, unit))
	}
}
