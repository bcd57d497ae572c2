// Package placement chooses an upstream for each request: it reserves a slot with
// the owner of an upstream and falls back to this node's own choice when owners
// can't be reached.
//
// Invariants: an upstream that is known to be leaving gets no new request; a
// reserved slot is renewed until it is released, exactly once, and expires when its
// holder does neither; no lock is held during a call to another node.
package placement
