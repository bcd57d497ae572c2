package metrics

import "sync"

var (
	helpMu sync.RWMutex
	help   = map[string]string{
		"process_cpu_seconds_total":     "Processor time used, in seconds.",
		"process_resident_memory_bytes": "Resident memory, in bytes.",
		"go_goroutines":                 "Goroutines that exist now.",
		"go_memory_heap_bytes":          "Heap in use, in bytes.",
		"go_gc_pause_seconds_total":     "Time the garbage collector stopped the process, in seconds.",
	}
)

// Describe says what the metric base, as named in the registry, means: its unit, and what it asks of the reader.
func Describe(base, text string) {
	helpMu.Lock()
	defer helpMu.Unlock()
	help[exposed(base)] = text
}

func helpOf(name string) string {
	helpMu.RLock()
	defer helpMu.RUnlock()
	if text, ok := help[name]; ok {
		return text
	}
	return "Not described."
}
