// Package slopes measures what each part of the control work costs a unit of
// its size: a member, a request, an upstream, a change. docs/CAPACITY.md works
// out the large site from these figures.
//
// Everything runs in this one process and on loopback; processor time is this
// process's own, so other work on the machine disturbs it little.
package slopes
