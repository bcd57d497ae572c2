package routing

// LeastOutstanding chooses the candidate with the lowest load: the last report,
// corrected by the requests that this node has started and ended since. Ties are
// broken at random.
type LeastOutstanding struct{}

// Choose implements Policy.
func (LeastOutstanding) Choose(s *Selection) *Replica {
	best := s.Candidates[0]
	least := s.Load(best)
	equal := 1
	for _, c := range s.Candidates[1:] {
		load := s.Load(c)
		switch {
		case load < least:
			best, least, equal = c, load, 1
		case load == least:
			equal++
			if s.Random.IntN(equal) == 0 {
				best = c
			}
		}
	}
	return best
}
