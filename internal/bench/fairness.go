package bench

// leastFairShare returns the smallest ratio, at most 1, of what a small workspace received
// to its max-min fair share. Both are output tokens of answered model requests. A
// workspace is small if its fair share meets its demand and its fraction of all requests
// is below the average.
func leastFairShare(w *world) float64 {
	n := len(w.shape.workspaces)
	demand := make([]float64, n)
	received := make([]float64, n)
	total := 0.0
	for _, j := range w.jobs {
		if j.kind.service || j.poison {
			continue
		}
		size := float64(j.outputTokens)
		demand[j.workspace] += size
		if j.state == jobAnswered {
			received[j.workspace] += size
			total += size
		}
	}
	fair := maxMinFair(w.shape.workspaces, demand, total)
	least := 1.0
	for i := range fair {
		small := fair[i] >= demand[i]*(1-1e-9)
		if small && fair[i] > 0 && w.shape.workspaces[i].fraction < 1/float64(n) {
			least = min(least, received[i]/fair[i])
		}
	}
	return least
}

// maxMinFair divides capacity among the workspaces: none gets more than its demand, and
// what is left goes to the others by their weights.
func maxMinFair(workspaces []workspace, demand []float64, capacity float64) []float64 {
	fair := make([]float64, len(demand))
	satisfied := make([]bool, len(demand))
	for {
		shares := 0.0
		for i := range demand {
			if !satisfied[i] {
				shares += workspaces[i].share
			}
		}
		if shares == 0 {
			return fair
		}
		level := capacity / shares
		changed := false
		for i := range demand {
			if !satisfied[i] && demand[i] <= level*workspaces[i].share {
				fair[i] = demand[i]
				capacity -= demand[i]
				satisfied[i] = true
				changed = true
			}
		}
		if changed {
			continue
		}
		for i := range demand {
			if !satisfied[i] {
				fair[i] = level * workspaces[i].share
			}
		}
		return fair
	}
}
