package dispatch

import (
	"os"
	"time"
)

// testPauseVariable names the environment variable that makes a node wait
// between grant and dispatch, so that fault tests can stop its process there.
const testPauseVariable = "MANGOLEDGE_TEST_PAUSE"

// pauseForTest waits when a fault test asks for it; a duration such as "500ms".
func pauseForTest() {
	text := os.Getenv(testPauseVariable)
	if text == "" {
		return
	}
	if d, err := time.ParseDuration(text); err == nil {
		time.Sleep(d)
	}
}
