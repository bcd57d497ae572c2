package poison

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// PassID identifies the pass of one run by its holder and a serial number of the holder.
// A holder uses a new number for each run, also for repeated runs of one request: the
// release of a run may reach the gate after the next run has requested its pass, and
// must not release that one.
type PassID struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Holder ident.IncarnationHash
	Serial uint64
}
