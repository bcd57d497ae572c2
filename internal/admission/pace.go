package admission

import "time"

// TypicalPace is the time between two tokens that a request is expected to have.
const TypicalPace = 30 * time.Millisecond
