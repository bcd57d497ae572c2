package poison

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// AcquireArgs asks to run a content once.
type AcquireArgs struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Fingerprint Fingerprint
	ID          PassID
	// Hold is how long the pass lasts without a release.
	Hold time.Duration
}

// AcquireReply is the gate's answer.
type AcquireReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Answer Answer
}

// ReleaseArgs gives a pass back.
type ReleaseArgs struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Fingerprint Fingerprint
	ID          PassID
	Upstream    ident.Upstream
	Ending      Ending
}

// ReleaseReply is empty.
type ReleaseReply struct{}
