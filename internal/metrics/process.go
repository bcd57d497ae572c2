package metrics

import (
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
)

// observeProcess puts what the process uses into registry.
func observeProcess(registry metrics.Registry) {
	float := func(name string, value float64) {
		metrics.GetOrRegisterGaugeFloat64(name, registry).Update(value)
	}
	float("process_cpu_seconds_total", cpuTime().Seconds())
	float("process_resident_memory_bytes", float64(residentBytes()))
	float("go_goroutines", float64(runtime.NumGoroutine()))
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	float("go_memory_heap_bytes", float64(memory.HeapAlloc))
	float("go_gc_pause_seconds_total", time.Duration(memory.PauseTotalNs).Seconds())
}

// cpuTime returns the processor time used so far, in user and system mode.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentBytes returns the resident memory, or 0 where the system does not tell.
func residentBytes() int64 {
	data, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	if err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}
