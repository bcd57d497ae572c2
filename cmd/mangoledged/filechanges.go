package main

import (
	"os"
	"time"
)

// fileChanges tells whether a file was written since it was looked at last.
type fileChanges struct {
	path    string
	written time.Time
	size    int64
}

func newFileChanges(path string) *fileChanges {
	f := &fileChanges{path: path}
	f.changed()
	return f
}

// changed is false as well while the file cannot be looked at, as in the middle of its
// replacement.
func (f *fileChanges) changed() bool {
	info, err := os.Stat(f.path)
	if err != nil {
		return false
	}
	same := info.ModTime().Equal(f.written) && info.Size() == f.size
	f.written, f.size = info.ModTime(), info.Size()
	return !same
}
