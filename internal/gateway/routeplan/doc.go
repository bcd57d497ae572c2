// Package routeplan holds the answer to the question where a node would send a request now, and
// why. The question is read only: nothing is sent, reserved or counted.
package routeplan
