// Package spread chooses one of several upstreams when the figures of their load are old and
// other nodes choose at the same time.
//
// The least loaded upstream by old figures is the least loaded one for every node that has the
// same figures, so all of them send there until newer figures arrive. A node cannot know what the
// others have sent since, but it knows how many requests that were, and that the others decide as
// it does. Those requests raise the cheapest upstreams to a common level. Each upstream's share of
// them is the probability with which this node sends its own request there, so that the nodes
// together raise all upstreams alike. With fresh figures no request is unseen, and the choice is
// the upstream with the lowest cost.
//
// The package does no I/O and keeps no state; the random source is passed in.
package spread
