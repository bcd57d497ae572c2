package routing

// Weights weigh the terms of the cost policy. Each term is in seconds of the
// request's time, so a weight of 1 takes the term as it is and 0 switches it off.
type Weights struct {
	// Queue weighs waiting and the slowdown by others in the batch.
	Queue float64
	// Prefix weighs the time to prefill what is not cached.
	Prefix float64
	// Domain weighs the way to another failure domain.
	Domain float64
	// Price weighs the price of the upstream's time.
	Price float64
	// Reclaim weighs the risk that a reclaim interrupts the request.
	Reclaim float64
}

// priceWeight is the most that the price weighs. A host that is up is paid for
// whether it works or not, so it only tells equal upstreams apart, which lets
// the dearer ones run empty and be given back.
const priceWeight = 0.1

// WeightsFor returns the weights of a site that favours the latency target by
// latency, from 0 to 1, and cost by the rest.
func WeightsFor(latency float64) Weights {
	latency = min(max(latency, 0), 1)
	return Weights{
		Queue:   0.5 + 0.5*latency,
		Prefix:  1,
		Domain:  1,
		Price:   priceWeight * (1 - latency),
		Reclaim: 1,
	}
}
