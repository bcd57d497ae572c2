// Package operator runs the commands of the operators' language.
//
// Invariants: a command that changes something has a change ID before it is
// carried out, and running it again with that ID changes nothing more; the
// outcome "accepted" is reported only for what the configuration store, or
// every node asked, has confirmed; no answer holds a secret.
package operator
