package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/server"
	"mangoledge.example/mangoledge/internal/gateway/site"
	"mangoledge.example/mangoledge/internal/logging"
	"mangoledge.example/mangoledge/platform"
)

const (
	// memoryLimitPercent is the part of the memory limit from which on memory is collected eagerly.
	memoryLimitPercent = 70
	// collectAt lets the heap grow to this many percent over what lives: a small heap
	// is collected often, and memory is dearer than processor time.
	collectAt = 60
	// settingsInterval is how often the settings file is looked at: it may change without a signal.
	settingsInterval = time.Second
)

// runGateway runs a gateway until it is told to stop.
func runGateway(path string, check bool) error {
	// A SIGHUP that comes while the process starts would end it.
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	if path == "" {
		path = os.Getenv(platform.SettingsEnvVar)
	}
	if path == "" {
		return errors.Newf("no settings: give --settings or set %s", platform.SettingsEnvVar)
	}
	loaded, err := platform.LoadSettings(path)
	if err != nil {
		return err
	}
	if check {
		fmt.Println("the settings are valid")
		return nil
	}
	limitResources(loaded)
	lines := logging.NewAsync(os.Stdout)
	defer lines.Close()
	return serveGateway(loaded, path, lines, signals)
}

// limitResources keeps the process within its host's share.
func limitResources(s *site.Settings) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectAt)
	if s.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(s.MemoryMB) << 20 * memoryLimitPercent / 100)
	}
}

func serveGateway(loaded *site.Settings, path string, lines *logging.Async, signals <-chan os.Signal) error {
	logger := slog.New(slog.NewJSONHandler(lines, nil))
	gateway, err := server.New(loaded, logger)
	if err != nil {
		return err
	}
	gateway.RegisterGauge("gateway.log_lines_dropped", lines.Dropped)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := gateway.Start(ctx); err != nil {
		return err
	}
	changes := newFileChanges(path)
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if changes.changed() {
				reload(gateway, path, logger)
			}
		case received := <-signals:
			if received != syscall.SIGHUP {
				gateway.Stop()
				return nil
			}
			reload(gateway, path, logger)
		}
	}
}

// reload reads the settings again; those that cannot be read change nothing.
func reload(gateway *server.Gateway, path string, logger *slog.Logger) {
	next, err := platform.LoadSettings(path)
	if err != nil {
		logger.Error("settings not reloaded", "error", err)
		return
	}
	gateway.Reload(next)
	logger.Info("settings reloaded", "at", time.Now().UTC())
}
