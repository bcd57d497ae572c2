// Package operator runs the commands of the operators' language.
//
// Invariants: a command that changes something has a change ID before anything
// is done, and running it again with that ID changes nothing more; "accepted"
// is said only of what the configuration store has confirmed, or of what every
// node asked has confirmed; no answer holds a secret.
package operator
