package dispatch

import "mangoledge.example/mangoledge/internal/request"

// kept returns the entry's answer as it is kept for resends, if the request has ended with one.
func (e *entry) kept() (request.Kept, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	bytes := int64(len(e.record.Output) + e.packed.Size())
	return request.Kept{ID: e.spec.ID, Since: e.finished, Bytes: bytes}, e.isPacked && bytes > 0
}

// listKept returns the answers in the table. A resend of a request whose answer was dropped asks the witness.
func (d *Dispatcher) listKept() []request.Kept {
	var all []request.Kept
	for _, e := range d.table.all() {
		if answer, ended := e.kept(); ended {
			all = append(all, answer)
		}
	}
	return all
}
