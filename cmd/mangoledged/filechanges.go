package main

import (
	"os"
	"time"
)

// fileChangeDetector detects changes of a file by its modification time and size.
type fileChangeDetector struct {
	path     string
	modified time.Time
	size     int64
}

// newFileChangeDetector returns a detector that reports changes after this call.
func newFileChangeDetector(path string) *fileChangeDetector {
	f := &fileChangeDetector{path: path}
	f.changed()
	return f
}

// changed reports whether the file changed since the previous call. It is false while the status of the
// file cannot be read, such as while the file is being replaced.
func (f *fileChangeDetector) changed() bool {
	info, err := os.Stat(f.path)
	if err != nil {
		return false
	}
	same := info.ModTime().Equal(f.modified) && info.Size() == f.size
	f.modified, f.size = info.ModTime(), info.Size()
	return !same
}
