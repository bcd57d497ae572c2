// Package tables defines the tables of the show command: one row type each,
// whose fields are the columns.
//
// Invariants: every field of a row has a column name and a description with its
// unit; no column holds a secret or the content of a request.
package tables
