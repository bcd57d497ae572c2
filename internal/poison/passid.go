package poison

import (
	"mangoledge.example/mangoledge/internal/ident"
)

// PassID names a pass: its holder and the holder's own number.
type PassID struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Holder ident.IncarnationHash
	Serial uint64
}
