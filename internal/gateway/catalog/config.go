package catalog

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/site"
)

// DecodeConfig decodes the operator's configuration.
type DecodeConfig func(spec []byte) (*site.Config, error)

// Configuration holds the configuration in force.
type Configuration struct {
	decode DecodeConfig
	logger *slog.Logger

	mu   sync.Mutex
	spec json.RawMessage
	// compressed is spec as sent to other nodes; nil until one requests it.
	compressed []byte
	// confirmedAt is when the configuration was last known to be current, in Unix nanoseconds.
	confirmedAt atomic.Int64
	current     atomic.Pointer[site.Config]
}

// NewConfiguration returns an empty Configuration.
func NewConfiguration(decode DecodeConfig, logger *slog.Logger) *Configuration {
	return &Configuration{decode: decode, logger: logger}
}

// Current returns the configuration in force, or nil while none is known.
func (c *Configuration) Current() *site.Config { return c.current.Load() }

// Version returns the version in force, or 0.
func (c *Configuration) Version() int64 {
	if current := c.Current(); current != nil {
		return current.Version
	}
	return 0
}

// ApplyIfNewer puts a configuration in force if it is later than the current one, and reports
// whether it did. A configuration that cannot be decoded is ignored.
func (c *Configuration) ApplyIfNewer(spec json.RawMessage, origin string) bool {
	config, err := c.decode(spec)
	if err != nil {
		c.logger.Error("configuration ignored", "origin", origin, "error", err, "in_force", c.Version())
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.Version()
	if c.Current() != nil && config.Version <= before {
		return false
	}
	c.spec, c.compressed = spec, nil
	c.current.Store(config)
	c.logger.Info("configuration in force", "version", config.Version, "before", before, "origin", origin,
		"routes", len(config.Routes), "workspaces", len(config.Workspaces))
	return true
}

// Compressed returns the gzip-compressed source of the configuration in force for other nodes, or
// nil while there is none. The result is shared and must not be modified.
func (c *Configuration) Compressed() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.compressed != nil || c.spec == nil {
		return c.compressed, nil
	}
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	if _, err := writer.Write(c.spec); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Wrap(err, "configuration")
	}
	c.compressed = out.Bytes()
	return c.compressed, nil
}

// ConfirmCurrent records that the configuration in force was current at the given time.
func (c *Configuration) ConfirmCurrent(at time.Time) { c.confirmedAt.Store(at.UnixNano()) }

// Age returns how long ago the configuration was last known to be current.
func (c *Configuration) Age(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.confirmedAt.Load()))
}
