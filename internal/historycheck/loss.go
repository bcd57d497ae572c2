package historycheck

import (
	"time"
)

// Loss is a connection that broke, or delivered nothing any more, before the last event.
type Loss struct {
	// Address is the base URL of the node.
	Address string
	At      time.Time
}
