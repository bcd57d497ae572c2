// Package peers lets the nodes of a site discover each other through records in the platform's
// store, and exchange their state over UDP several times a second: quota spent, requests sent
// to upstreams, and usage counts.
//
// Invariants: a message older than one received before changes nothing; the last message of a
// process that ended is kept for a while, so that its counts are not lost; nothing here is
// needed to serve a request.
//
// Lock order: Table.mu is a leaf; it is not held while a message is sent.
package peers
