package routing

// RoundRobin cycles through the candidates.
type RoundRobin struct {
	next int
}

// Choose implements Policy.
func (p *RoundRobin) Choose(s *Selection) *Replica {
	p.next++
	return s.Candidates[p.next%len(s.Candidates)]
}
