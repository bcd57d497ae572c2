// Package entry answers callers: it is the server of the caller API.
//
// Invariants: a caller sees only requests of its own workspace; every refusal
// carries a verdict; each event of a stream is flushed by itself.
package entry
