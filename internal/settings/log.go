package settings

// Log configures the log.
type Log struct {
	// Level is "debug", "info", "warn" or "error". Default "info".
	Level string `json:"level"`
	// Format is "text" or "json". Default "text".
	Format string `json:"format"`
}
