package poison

// Ending is how a run ended.
type Ending uint8

// Endings of a run.
const (
	// EndingOther says nothing about the content.
	EndingOther Ending = iota
	// EndingFinished means that the run completed.
	EndingFinished
	// EndingCrashed means that the upstream crashed during the run.
	EndingCrashed
)
