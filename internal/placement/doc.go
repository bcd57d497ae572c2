// Package placement finds a place for a request at an upstream: it asks the
// upstreams' owners for a slot and falls back to its own choice when they can't
// be reached.
//
// Invariants: an upstream that is known to be leaving gets no new request;
// a slot that was reserved is renewed until it is given back, once, and expires
// when its holder does neither; no lock is held during a call to another node.
package placement
