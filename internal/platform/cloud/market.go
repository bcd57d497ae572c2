package cloud

// Market is where a host comes from.
type Market string

// The markets.
const (
	MarketReclaimable Market = "reclaimable"
	MarketOnDemand    Market = "on-demand"
)
