// Package slopes measures what each part of the control work costs per unit of its
// size, such as a member, a request, an upstream or a change. docs/CAPACITY.md
// calculates the costs of the large site from these figures.
//
// Everything runs in this one process and on loopback. Processor time is that of
// this process, so other work on the machine hardly affects it.
package slopes
