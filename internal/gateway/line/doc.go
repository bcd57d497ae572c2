// Package line decides when the clients that a service has no room for should return.
//
// The decisions are pure: random numbers are passed in, and no I/O is done.
package line
