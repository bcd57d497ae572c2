package cloud

// Offer is the price of a pool.
type Offer struct {
	Pool
	PricePerHour float64 `json:"pricePerHour"`
}
