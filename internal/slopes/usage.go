package slopes

import (
	"runtime"
	"syscall"
	"time"
)

// usage is what this process has used so far.
type usage struct {
	processor time.Duration
	wall      time.Time
	// memory is the heap in use plus stacks, in bytes.
	memory uint64
}

// readUsage returns the present usage. With collect it runs the garbage collector first,
// so that memory counts only what is reachable. The clocks are read last, so the cost of
// this reading is not part of the difference to a later one.
func readUsage(collect bool) usage {
	if collect {
		runtime.GC()
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usage{
		wall:      time.Now(),
		processor: time.Duration(r.Utime.Nano() + r.Stime.Nano()),
		memory:    m.HeapAlloc + m.StackInuse,
	}
}

// processorTimePerCall calls step count times and returns the mean processor time of a
// call, in microseconds.
func processorTimePerCall(count int, step func(i int)) float64 {
	begin := readUsage(true)
	for i := range count {
		step(i)
	}
	spent := readUsage(false).processor - begin.processor
	return float64(spent.Nanoseconds()) / float64(count) / nanosPerMicrosecond
}

// memoryGrowth returns how much more memory is in use at later than at earlier, in bytes;
// it may be negative.
func memoryGrowth(later, earlier usage) float64 {
	return float64(later.memory) - float64(earlier.memory)
}
