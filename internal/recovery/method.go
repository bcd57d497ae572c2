package recovery

// Method is a way to continue a stream.
type Method string

const (
	// MethodStay lets the stream run to its end at its present upstream.
	MethodStay Method = "stay"
	// MethodResume reattaches to the stream at its present upstream.
	MethodResume Method = "resume"
	// MethodTransfer exports the KV cache and imports it at another upstream.
	MethodTransfer Method = "transfer"
	// MethodPrefill prefills the prompt and the generated tokens at another upstream.
	MethodPrefill Method = "prefill"
)

// Methods returns all methods.
func Methods() []Method {
	return []Method{MethodStay, MethodResume, MethodTransfer, MethodPrefill}
}
