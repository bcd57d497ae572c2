package routing

// Random chooses any candidate.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(s *Selection) *Replica {
	return s.Candidates[s.Random.IntN(len(s.Candidates))]
}
