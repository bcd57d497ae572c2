// Package figures measures what a node adds to a call of an engine: time to the
// first token and between tokens, processor time, memory of an open stream, and the
// cost of the record at the witness. Times are compared with those of direct calls
// of the same stand-in engines in the same run.
package figures
