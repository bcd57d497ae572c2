package poison

// Ending is how a run under a pass ended.
type Ending uint8

// The endings of a run.
const (
	// EndingOther says nothing about the content.
	EndingOther Ending = iota
	// EndingFinished means that the content ran to its end.
	EndingFinished
	// EndingCrashed means that the upstream died while it ran the content.
	EndingCrashed
)
