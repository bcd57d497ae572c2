package recovery

// Method is a way for a stream to go on.
type Method string

// The methods.
const (
	// MethodStay lets the stream end where it is.
	MethodStay Method = "stay"
	// MethodResume attaches again to the stream where it is.
	MethodResume Method = "resume"
	// MethodTransfer exports the KV cache and imports it elsewhere.
	MethodTransfer Method = "transfer"
	// MethodPrefill prefills prompt and generated tokens elsewhere.
	MethodPrefill Method = "prefill"
)

// Methods returns all methods.
func Methods() []Method {
	return []Method{MethodStay, MethodResume, MethodTransfer, MethodPrefill}
}
