// Package version holds the version of the programs.
package version

// Version is the version of both programs.
const Version = "0.1.0"
