package callerclient

import "mangoledge.example/mangoledge/api/callerapi"

// Observer is notified of the progress of a request. Methods are called from one goroutine at a time.
type Observer interface {
	// Token is called once for each token, in order.
	Token(offset int, text string)
	// Restart is called when the tokens so far are invalid because the generation changed.
	Restart()
	// Retry is called before the request is sent or resumed again, with the reason.
	Retry(address string, reason error)
}

// RefusalObserver is an Observer that is also notified of each refusal, with the ID
// that was refused, because a request with the verdict not_run is retried with a new ID.
type RefusalObserver interface {
	Observer
	// Refused is called for each refusal or failure that a node reports.
	Refused(id string, refusal callerapi.Refusal)
}

// IDObserver is an Observer that is also notified of the request's ID, so that a
// caller can store it and resume the request after a restart of its own process.
type IDObserver interface {
	Observer
	// IDChosen is called before a request is first sent with id. The request is sent
	// when it returns, so that the caller can store id first.
	IDChosen(id string)
}

// NopObserver is an Observer that does nothing.
type NopObserver struct{}

// Token does nothing.
func (NopObserver) Token(int, string) {}

// Restart does nothing.
func (NopObserver) Restart() {}

// Retry does nothing.
func (NopObserver) Retry(string, error) {}
