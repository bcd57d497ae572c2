//go:build review

package lab

import (
	"os"
	"os/signal"
	"syscall"
)

// closeOnSignal ends all processes of the site and the case when the case itself is ended.
func (s *Site) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		Finish(s, 2, "ended by a signal")
	}()
}
