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
	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/logging"
	"mangoledge.example/mangoledge/platform"
)

const (
	// gcPercent is how far the heap may grow beyond the live heap before the next collection, in
	// percent. A small heap is then collected often, but memory costs more than processor time.
	gcPercent = 60
	// gatewayCollectorPercent is the part of the memory limit, in percent, from which on the garbage collector runs
	// more often.
	gatewayCollectorPercent = 60
	// settingsCheckInterval is the interval of checks for changes of the settings file, which may change
	// without a signal.
	settingsCheckInterval = time.Second
)

// runGateway runs a gateway with the settings file at path until it receives SIGINT or SIGTERM. An empty
// path means the file named by the environment variable platform.SettingsEnvVar. If check is true, it
// only checks the settings.
func runGateway(path string, check bool) error {
	// Without a handler, a SIGHUP during the start would end the process.
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
	limitProcessorsAndMemory(loaded)
	logWriter := logging.NewAsyncWriter(os.Stdout)
	defer logWriter.Close()
	return serveGateway(loaded, path, logWriter, signals)
}

// limitProcessorsAndMemory limits the process to its share of the host: one processor and, if MemoryMB is
// set, a soft memory limit.
func limitProcessorsAndMemory(s *site.Settings) {
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	ingress.LimitCollector(s.MemoryMB, gatewayCollectorPercent)
}

// serveGateway starts the gateway, reloads its settings on SIGHUP and when the file changes, and stops it on
// any other signal.
func serveGateway(loaded *site.Settings, path string, logWriter *logging.AsyncWriter, signals <-chan os.Signal) error {
	logger := slog.New(slog.NewJSONHandler(logWriter, nil))
	gateway, err := server.New(loaded, logger)
	if err != nil {
		return err
	}
	gateway.RegisterGauge("gateway.log_lines_dropped", logWriter.Dropped)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if err := gateway.Start(ctx); err != nil {
		return err
	}
	changes := newFileChangeDetector(path)
	ticker := time.NewTicker(settingsCheckInterval)
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

// reload reads the settings again and applies them. If they cannot be read, the gateway keeps its settings.
func reload(gateway *server.Gateway, path string, logger *slog.Logger) {
	next, err := platform.LoadSettings(path)
	if err != nil {
		logger.Error("settings not reloaded", "error", err)
		return
	}
	gateway.Reload(next)
	logger.Info("settings reloaded", "at", time.Now().UTC())
}
