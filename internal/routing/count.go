package routing

// Count is the size of a pool and how much of it is taken.
type Count struct {
	// Slots is the room of the usable replicas.
	Slots int
	// InFlight is what is counted or estimated there.
	InFlight int
	// Replicas is how many are usable.
	Replicas int
}

// Free returns how many more requests find a slot.
func (c Count) Free() int {
	return max(0, c.Slots-c.InFlight)
}
