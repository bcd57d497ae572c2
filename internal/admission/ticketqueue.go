package admission

// ticketQueue is a heap of waiting tickets, the one with the smallest key on top.
type ticketQueue []*Ticket

// Len implements heap.Interface.
func (q ticketQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q ticketQueue) Less(i, j int) bool {
	if q[i].key != q[j].key {
		return q[i].key < q[j].key
	}
	return q[i].serial < q[j].serial
}

// Swap implements heap.Interface.
func (q ticketQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex = i
	q[j].heapIndex = j
}

// Push implements heap.Interface.
func (q *ticketQueue) Push(x any) {
	t := x.(*Ticket)
	t.heapIndex = len(*q)
	*q = append(*q, t)
}

// Pop implements heap.Interface.
func (q *ticketQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	last.heapIndex = -1
	return last
}
