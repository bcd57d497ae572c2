package cloud

// Market is the pricing model of a host.
type Market string

// The markets; the platform may reclaim hosts of MarketReclaimable.
const (
	MarketReclaimable Market = "reclaimable"
	MarketOnDemand    Market = "on-demand"
)
