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

// updateProcessMetrics sets the process's metrics, such as processor time and memory, in registry.
func updateProcessMetrics(registry metrics.Registry) {
	setGauge := func(name string, value float64) {
		metrics.GetOrRegisterGaugeFloat64(name, registry).Update(value)
	}
	setGauge("process_cpu_seconds_total", cpuTime().Seconds())
	setGauge("process_resident_memory_bytes", float64(residentBytes()))
	setGauge("go_goroutines", float64(runtime.NumGoroutine()))
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	setGauge("go_memory_heap_bytes", float64(memory.HeapAlloc))
	setGauge("go_gc_pause_seconds_total", time.Duration(memory.PauseTotalNs).Seconds())
}

// cpuTime returns the processor time that the process has used, in user and system mode; 0 on an error.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// residentBytes returns the resident memory in bytes, or 0 if the system does not report it.
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
