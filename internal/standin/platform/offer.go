package platform

// Offer is the price of one host class in one failure domain and market.
type Offer struct {
	FailureDomain string  `json:"failureDomain"`
	HostClass     string  `json:"hostClass"`
	Market        Market  `json:"market"`
	PricePerHour  float64 `json:"pricePerHour"`
	// Available is the most hosts that can run at once; clients do not see it.
	Available int `json:"available"`
}
