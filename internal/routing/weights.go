package routing

// Weights scale the terms of a CostPolicy. Each term is in seconds of the
// request's time, so 1 leaves a term unchanged and 0 disables it.
type Weights struct {
	// Queue scales the queueing time and the mutual slowdown within a batch.
	Queue float64
	// Prefix scales the time to prefill the part of the prompt that is not cached.
	Prefix float64
	// Domain scales the network time to another failure domain.
	Domain float64
	// Price scales the price of the upstream's time.
	Price float64
	// Reclaim scales the risk that a reclaim interrupts the request.
	Reclaim float64
}

// priceWeight is the maximum weight of the price. A running host is paid for whether
// it is used or not, so the price only decides between otherwise equal upstreams. This
// leaves the more expensive hosts idle, so that they can be released.
const priceWeight = 0.1

// WeightsFor returns the weights for a site that balances latency against cost:
// latency is the weight of the latency target from 0 to 1, the rest goes to cost.
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
