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
	// memory is heap in use and stacks, in bytes.
	memory uint64
}

// now reads the usage; collect also runs the collector first, so that memory
// counts only what is reachable. What this reading itself costs is in no
// difference between it and a later one.
func now(collect bool) usage {
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

// cost is the mean processor time of one call of step, in microseconds.
func cost(count int, step func(i int)) float64 {
	begin := now(true)
	for i := range count {
		step(i)
	}
	spent := now(false).processor - begin.processor
	return float64(spent.Nanoseconds()) / float64(count) / nanosPerMicrosecond
}

// signedDifference is how much more memory is in use at later than at earlier, in bytes.
func signedDifference(later, earlier usage) float64 {
	return float64(later.memory) - float64(earlier.memory)
}
