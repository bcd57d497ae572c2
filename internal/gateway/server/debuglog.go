package server

import (
	"log"
	"log/slog"
)

// debugErrorLog returns a logger that writes the errors of net/http about broken connections at
// debug level.
func debugErrorLog(logger *slog.Logger) *log.Logger {
	return slog.NewLogLogger(logger.Handler(), slog.LevelDebug)
}
