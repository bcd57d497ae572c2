package callerclient

import "mangoledge.example/mangoledge/api/callerapi"

// Observer is told about a stream as it comes. Methods are called from one goroutine at a time.
type Observer interface {
	// Token is called for each token, in order and once each.
	Token(offset int, text string)
	// Restart is called when the tokens so far are void because the generation changed.
	Restart()
	// Retry is called before the request is sent or resumed again, with the reason.
	Retry(address string, reason error)
}

// RefusalObserver is an Observer that is also told every refusal, with the ID
// that was refused: a refusal as not run is followed by a fresh ID.
type RefusalObserver interface {
	Observer
	// Refused is called for each refusal or failure that a node states.
	Refused(id string, refusal callerapi.Refusal)
}

// IDObserver is an Observer that is also told the request's ID, so that a caller
// can keep it and come back with it after its own process has ended.
type IDObserver interface {
	Observer
	// Using is called before a request is first sent under id. It returns when
	// the caller has kept id.
	Using(id string)
}

// Silent is an Observer that does nothing.
type Silent struct{}

// Token does nothing.
func (Silent) Token(int, string) {}

// Restart does nothing.
func (Silent) Restart() {}

// Retry does nothing.
func (Silent) Retry(string, error) {}
