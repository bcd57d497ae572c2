package owner

// expiryQueue is a heap of reservations, with the one that expires first at the top.
type expiryQueue []*reservation

// Len implements heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q expiryQueue) Less(i, j int) bool { return q[i].expiresAt.Before(q[j].expiresAt) }

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex = i
	q[j].heapIndex = j
}

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) {
	r := x.(*reservation)
	r.heapIndex = len(*q)
	*q = append(*q, r)
}

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return last
}
