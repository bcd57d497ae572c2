package slopes

// Figure is a measured cost.
type Figure struct {
	// Name has the form "<part>.<what>[.<size>]".
	Name string `json:"name"`
	// Value is in Unit.
	Value float64 `json:"value"`
	Unit  string  `json:"unit"`
	// How describes what the figure was measured from.
	How string `json:"how"`
}

// Units of figures, and factors between units. headerBytesUDP is the size of the UDP and
// IPv4 headers of a datagram.
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
