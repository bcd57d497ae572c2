package routing

// PoolUsage is the capacity and the load of a pool.
type PoolUsage struct {
	// Slots is the total capacity of the usable replicas, in requests.
	Slots int
	// InFlight is the counted or estimated number of requests on these replicas.
	InFlight int
	// Replicas is the number of usable replicas.
	Replicas int
}

// Free returns how many more requests fit into the pool's slots.
func (u PoolUsage) Free() int {
	return max(0, u.Slots-u.InFlight)
}
