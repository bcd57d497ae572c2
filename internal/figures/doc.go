// Package figures measures what a node adds to a call of an engine: time to the
// first token and per token, processor time, memory of an open stream, and the
// cost of the record at the witness. Every figure stands beside that of a direct
// call of the same stand-in in the same run.
package figures
