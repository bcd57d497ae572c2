// Package entry implements the HTTP server of the caller API.
//
// Invariants: a caller has access only to requests of its own workspace; every refusal
// has a verdict; each event of a stream is flushed separately.
package entry
