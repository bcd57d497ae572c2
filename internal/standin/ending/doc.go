// Package ending makes the responses of stand-ins end in every way that a faulty server's can: framed
// by a length, by chunks or not at all, stopped anywhere, and with connections that end in good order,
// by a reset, never, or with the whole process.
package ending
