package slopes

// Figure is one measured cost.
type Figure struct {
	// Name says what was measured, as "<part>.<what>[.<size>]".
	Name string `json:"name"`
	// Value is in Unit.
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// How says from how much it was measured.
	How string `json:"how"`
}

// Units of figures.
const (
	unitMicroseconds    = "us of processor time"
	unitMilliseconds    = "ms"
	unitBytes           = "B"
	unitBytesPerSecond  = "B/s"
	unitPercentOfCore   = "% of a core"
	unitCountPerHour    = "per member-hour"
	unitPerSecond       = "a second"
	unitCount           = "count"
	percent             = 100
	megabyte            = 1 << 20
	headerBytesUDP      = 28
	nanosPerMicrosecond = 1000
)
