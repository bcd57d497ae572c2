package routing

// PowerOfTwo chooses the less loaded of two random candidates.
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
