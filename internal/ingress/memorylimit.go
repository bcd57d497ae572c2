package ingress

import "runtime/debug"

// LimitCollector makes the garbage collector keep to a part of a process's memory limit in MB; 0 means no limit. The
// rest is for garbage that is not collected in time, and for what the kernel has received.
func LimitCollector(memoryMB, percent int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) << 20 * int64(percent) / 100)
	}
}
