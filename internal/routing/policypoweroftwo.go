package routing

// PowerOfTwo picks two candidates at random and chooses the less loaded one.
type PowerOfTwo struct{}

// Choose implements Policy.
func (PowerOfTwo) Choose(s *Selection) *Replica {
	a := s.Candidates[s.Random.IntN(len(s.Candidates))]
	b := s.Candidates[s.Random.IntN(len(s.Candidates))]
	if s.Load(b) < s.Load(a) {
		return b
	}
	return a
}
