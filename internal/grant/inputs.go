package grant

import "sync/atomic"

const (
	// longInput is the length of an input, in bytes, over which it must leave 1/longInputDivisor of the limit free.
	longInput        = 64 << 10
	longInputDivisor = 8
)

// Inputs bounds the inputs of the requests in progress that the tables of a node keep. Callers choose the witness
// of a request, so one node may be the witness for many homes. It is safe for concurrent use; nil means no limit.
type Inputs struct {
	limit int64
	bytes atomic.Int64
}

// NewInputs returns a limit in bytes.
func NewInputs(limit int64) *Inputs { return &Inputs{limit: limit} }

// Bytes returns the length of all inputs.
func (i *Inputs) Bytes() int64 { return i.bytes.Load() }

// reserve counts an input of n bytes if there is room for it, and reports whether there is.
func (i *Inputs) reserve(n int) bool {
	if i == nil {
		return true
	}
	limit := i.limit
	if n > longInput {
		limit -= limit / longInputDivisor
	}
	if i.bytes.Add(int64(n)) <= limit {
		return true
	}
	i.bytes.Add(-int64(n))
	return false
}

// add counts an input that was accepted elsewhere, also over the limit.
func (i *Inputs) add(n int) {
	if i != nil {
		i.bytes.Add(int64(n))
	}
}

// release counts an input of n bytes less.
func (i *Inputs) release(n int) {
	if i != nil {
		i.bytes.Add(-int64(n))
	}
}

// dropInput drops the input of an entry: the request is not run any more, or its entry is removed.
func (e *Entry) dropInput() {
	e.inputs.release(len(e.Record.Spec.Input))
	e.inputs, e.Record.Spec.Input = nil, ""
}
