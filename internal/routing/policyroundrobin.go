package routing

// RoundRobin chooses the candidates in turn.
type RoundRobin struct {
	next int
}

// Choose implements Policy.
func (p *RoundRobin) Choose(s *Selection) *Replica {
	p.next++
	return s.Candidates[p.next%len(s.Candidates)]
}
