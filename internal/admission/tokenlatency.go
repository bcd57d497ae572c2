package admission

import "time"

// TypicalTokenLatency is the time between two tokens that a request is expected to have.
const TypicalTokenLatency = 30 * time.Millisecond
