package metrics

import "sync"

var (
	helpMu    sync.RWMutex
	helpTexts = map[string]string{
		"process_cpu_seconds_total":     "Processor time used, in seconds.",
		"process_resident_memory_bytes": "Resident memory, in bytes.",
		"go_goroutines":                 "Goroutines that exist now.",
		"go_memory_heap_bytes":          "Heap in use, in bytes.",
		"go_gc_pause_seconds_total":     "Time the garbage collector stopped the process, in seconds.",
	}
)

// Describe sets the help text of a metric. base is its name in the registry without labels; text states
// its meaning and unit and what the reader should do about it.
func Describe(base, text string) {
	helpMu.Lock()
	defer helpMu.Unlock()
	helpTexts[exposedName(base)] = text
}

// helpText returns the help text of the metric exposed under name.
func helpText(name string) string {
	helpMu.RLock()
	defer helpMu.RUnlock()
	if text, ok := helpTexts[name]; ok {
		return text
	}
	return "Not described."
}
