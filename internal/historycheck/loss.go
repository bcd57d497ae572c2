package historycheck

import (
	"time"
)

// Loss is a connection that broke, or went silent, before the last event.
type Loss struct {
	// Address is the base URL of the node.
	Address string
	At      time.Time
}
