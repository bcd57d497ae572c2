// Package httpconn sends HTTP/1.1 requests over pooled connections that carry one exchange at a
// time.
//
// Invariants: each request is written at most once, and this package retries nothing; a
// connection is reused only if its last response was read to the end, the entire request was
// written, and no bytes follow the response; an error says whether any byte of the request may
// have been sent.
//
// Lock order: Pool.mu is a leaf; it is not held during network calls.
package httpconn
