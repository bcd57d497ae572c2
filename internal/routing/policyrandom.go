package routing

// Random chooses a candidate uniformly at random.
type Random struct{}

// Choose implements Policy.
func (Random) Choose(s *Selection) *Replica {
	return s.Candidates[s.Random.IntN(len(s.Candidates))]
}
