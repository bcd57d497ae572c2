package bench

// leastFairShare returns the least that a small workspace got of its max-min
// fair share of what was answered, in seconds of engine time of model work.
// A workspace is small when it asks for less than its weighted part.
func leastFairShare(w *world) float64 {
	n := len(w.shape.workspaces)
	demand := make([]float64, n)
	got := make([]float64, n)
	total := 0.0
	for _, j := range w.jobs {
		if j.kind.service || j.poison {
			continue
		}
		size := float64(j.output)
		demand[j.workspace] += size
		if j.state == jobAnswered {
			got[j.workspace] += size
			total += size
		}
	}
	fair := maxMinFair(w.shape.workspaces, demand, total)
	least := 1.0
	for i := range fair {
		small := fair[i] >= demand[i]*(1-1e-9)
		if small && fair[i] > 0 && w.shape.workspaces[i].part < 1/float64(n) {
			least = min(least, got[i]/fair[i])
		}
	}
	return least
}

// maxMinFair shares capacity so that no workspace gets more than its demand and
// what is left goes to the others by their weights.
func maxMinFair(workspaces []workspace, demand []float64, capacity float64) []float64 {
	fair := make([]float64, len(demand))
	settled := make([]bool, len(demand))
	for {
		shares := 0.0
		for i := range demand {
			if !settled[i] {
				shares += workspaces[i].share
			}
		}
		if shares == 0 {
			return fair
		}
		level := capacity / shares
		changed := false
		for i := range demand {
			if !settled[i] && demand[i] <= level*workspaces[i].share {
				fair[i] = demand[i]
				capacity -= demand[i]
				settled[i] = true
				changed = true
			}
		}
		if changed {
			continue
		}
		for i := range demand {
			if !settled[i] {
				fair[i] = level * workspaces[i].share
			}
		}
		return fair
	}
}
