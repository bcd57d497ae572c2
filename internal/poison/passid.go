package poison

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// PassID names the pass of one run: its holder and the holder's own number. A
// holder takes a new number for each run, also for each run of one request: the
// release of a run may reach the gate after the next run has asked, and must not
// give back the pass of that one.
type PassID struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Holder ident.IncarnationHash
	Serial uint64
}
