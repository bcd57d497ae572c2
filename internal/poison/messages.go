package poison

import (
	"time"

	"mangoledge.example/mangoledge/internal/ident"
)

// AcquireArgs requests a pass for one run of the content.
type AcquireArgs struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Fingerprint Fingerprint
	ID          PassID
	// Hold is how long the pass is valid if it is not released.
	Hold time.Duration
}

// AcquireReply carries the gate's answer.
type AcquireReply struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Answer Answer
}

// ReleaseArgs returns a pass.
type ReleaseArgs struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // read by the codec

	Fingerprint Fingerprint
	ID          PassID
	Upstream    ident.Upstream
	Ending      Ending
}

// ReleaseReply is empty.
type ReleaseReply struct{}
