package ending

import "os"

// processExitCode is the exit status of a stand-in whose process ended with a response.
const processExitCode = 5

// FinishOrExit is Finish for a stand-in that is a process of its own.
func (w *Writer) FinishOrExit() {
	if w.Finish() {
		os.Exit(processExitCode)
	}
}
