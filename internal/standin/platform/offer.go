package platform

// Offer is a price of one host class in one failure domain and market.
type Offer struct {
	FailureDomain string  `json:"failureDomain"`
	HostClass     string  `json:"hostClass"`
	Market        Market  `json:"market"`
	PricePerHour  float64 `json:"pricePerHour"`
	// Available is the most hosts that can run at once; it is told to nobody but the stand-in.
	Available int `json:"available"`
}
