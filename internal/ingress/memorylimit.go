package ingress

import "runtime/debug"

// collectorPercent is the part of a process's memory limit, in percent, from which on the garbage collector
// runs more often. The rest is for the program itself, and for what the kernel has received.
const collectorPercent = 60

// LimitCollector makes the garbage collector keep to a process's memory limit in MB; 0 means no limit.
func LimitCollector(memoryMB int) {
	if memoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryMB) << 20 * collectorPercent / 100)
	}
}
