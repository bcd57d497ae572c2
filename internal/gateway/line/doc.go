// Package line decides what happens to requests while a service has too little room: which are sent,
// with which rank, which are refused, and when the refused should return.
//
// A node decides by the estimated time to a request's first event. The waiting itself happens at the
// upstreams, which admit by rank. Workspaces share scarce room in proportion to their weights; who has
// used more than its share lately is ranked behind the others, and refused first.
//
// The decisions are pure: clock and random numbers are passed in, and no I/O is done. Shares is safe
// for concurrent use, its mutex is a leaf.
package line
