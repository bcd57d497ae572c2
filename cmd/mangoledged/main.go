// Command mangoledged is the daemon that runs on each entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/node"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/tlsconf"
)

// collectorPercent is the part of the memory limit, in percent, from which on the garbage collector runs more often.
// Decoding and encoding requests leave much garbage.
const collectorPercent = 50

func main() {
	app := kingpin.New("mangoledged", "The mangoledge daemon: one per entry host.")
	path := app.Flag("settings", "Path of the settings file: JSON, or with --platform the platform's format; with --platform, the default is the file named by the environment.").String()
	check := app.Flag("check-settings", "Check the settings and the files that they name, print the faults and exit.").Bool()
	onPlatform := app.Flag("platform", "Run as a gateway on the users' platform.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *onPlatform {
		if err := runGateway(*path, *check); err != nil {
			exitWithError(err)
		}
		return
	}
	loaded, err := settings.Load(*path)
	if err != nil {
		exitWithError(err)
	}
	if *check {
		if err := checkFiles(loaded); err != nil {
			exitWithError(err)
		}
		fmt.Println("the settings are valid")
		return
	}
	if err := run(loaded); err != nil {
		exitWithError(err)
	}
}

// checkFiles returns an error if the certificate for callers and operators that the settings name is not
// usable.
func checkFiles(loaded *settings.Settings) error {
	if loaded.TLS == nil {
		return nil
	}
	return tlsconf.CheckCertificate(loaded.TLS.CertFile, loaded.TLS.KeyFile, time.Now())
}

// run runs incarnations of the node one after another until the process has to end.
func run(loaded *settings.Settings) error {
	ingress.LimitCollector(loaded.Limits.MemoryMB, collectorPercent)
	runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), loaded.Limits.MaxProcessors))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	var backoff node.RestartBackoff
	for {
		restart, err := runOnce(loaded, signals, &backoff)
		if err != nil || !restart {
			return err
		}
	}
}

// runOnce runs one incarnation of the node until it ends. restart is true if it was declared dead
// and no signal came during the pause after it, whose length backoff determines.
func runOnce(loaded *settings.Settings, signals <-chan os.Signal, backoff *node.RestartBackoff) (restart bool, err error) {
	n, err := node.New(loaded, os.Stderr)
	if err != nil {
		return false, err
	}
	if err := n.Start(context.Background()); err != nil {
		return false, err
	}
	select {
	case err := <-n.Failures():
		return false, err
	case <-n.DeclaredDead():
		n.Abandon()
		return waitUnlessSignaled(n.RestartPause(backoff), signals), nil
	case notice := <-n.ReclaimNotices():
		n.Reclaim(notice)
		return false, nil
	case <-n.DrainRequests():
	case <-signals:
	}
	drainTimeout := time.Duration(loaded.Limits.DrainTimeoutMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
	defer cancel()
	n.Drain(ctx)
	return false, nil
}

// waitUnlessSignaled waits for pause or a signal and reports whether no signal was received.
func waitUnlessSignaled(pause time.Duration, signals <-chan os.Signal) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-signals:
		return false
	}
}

// exitWithError prints err and exits with status 1.
func exitWithError(err error) {
	fmt.Fprintln(os.Stderr, "mangoledged:", err)
	os.Exit(1)
}
