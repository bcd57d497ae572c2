package routing

// pool holds the replicas that belong to a Pool and their mean price.
type pool struct {
	replicas  []*Replica
	meanPrice float64
}

func (p *pool) add(r *Replica) {
	p.replicas = append(p.replicas, r)
	p.meanPrice += (r.PricePerHour - p.meanPrice) / float64(len(p.replicas))
}
