package routing

// pool lists the replicas of a pool.
type pool struct {
	replicas  []*Replica
	meanPrice float64
}

func (p *pool) add(r *Replica) {
	p.replicas = append(p.replicas, r)
	p.meanPrice += (r.PricePerHour - p.meanPrice) / float64(len(p.replicas))
}
