// Package scaling decides how many on-demand and reclaimable upstreams of a service run in each
// failure domain, and orders them from the platform while this node holds the lease for it.
//
// Reclaimable upstreams are cheap, but all of them in a failure domain are reclaimed at once, so
// they are distributed evenly. When a domain loses them, or none are available, on-demand
// upstreams replace them until they return.
//
// Invariants: orders stay within the bounds of the configuration; an order is sent only after the
// lease was checked, and is not repeated while it is in effect. Plan does no I/O.
package scaling
