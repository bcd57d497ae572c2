package dispatch

import "mangoledge.example/mangoledge/internal/request"

// kept returns the entry's answer as it is kept for resends, if the request has ended with one.
func (e *entry) kept() (request.Kept, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	bytes := int64(len(e.record.Output) + e.packed.Size())
	return request.Kept{ID: e.spec.ID, Since: e.finished, Bytes: bytes}, e.isPacked && bytes > 0
}

// limitKept counts the answer of an entry that has ended, and drops the oldest ones beyond the limit. A
// resend then asks the witness.
func (d *Dispatcher) limitKept(e *entry) {
	answer, ended := e.kept()
	if !ended || d.options.KeptLimit <= 0 || d.keptBytes.Add(answer.Bytes) <= d.options.KeptLimit {
		return
	}
	var all []request.Kept
	for _, other := range d.table.all() {
		if answer, ended := other.kept(); ended {
			all = append(all, answer)
		}
	}
	dropped, rest := request.Oldest(all, d.options.KeptLimit)
	d.keptBytes.Store(rest)
	for i := range dropped {
		d.table.drop(dropped[i].ID)
	}
}
