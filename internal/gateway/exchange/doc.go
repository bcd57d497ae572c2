// Package exchange handles one client request: it checks and admits the request, sends it to an
// upstream, retries where that is safe, and forwards the response.
//
// Invariants: a request that must not be repeated is written to one upstream at most, unless
// that upstream stated that it did not run it; a status that means "not run" is returned only
// for a request that no upstream may have run; a response that ends early never looks complete;
// a response is forwarded only if it carries the ID of its request; when the client disconnects
// or the deadline passes, the connection to the upstream is closed at once.
package exchange
