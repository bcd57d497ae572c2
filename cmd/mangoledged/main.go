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

	"mangoledge.example/mangoledge/internal/node"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/tlsconf"
)

func main() {
	app := kingpin.New("mangoledged", "The mangoledge daemon: one per entry host.")
	path := app.Flag("settings", "Path of the settings: JSON, or with --platform the platform's file, by default the one that the environment names.").String()
	check := app.Flag("check-settings", "Check the settings and the files that they name, say what is wrong, and end.").Bool()
	onPlatform := app.Flag("platform", "Run as a gateway on the users' platform.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if *onPlatform {
		if err := runGateway(*path, *check); err != nil {
			fail(err)
		}
		return
	}
	loaded, err := settings.Load(*path)
	if err != nil {
		fail(err)
	}
	if *check {
		if err := checkFiles(loaded); err != nil {
			fail(err)
		}
		fmt.Println("the settings are valid")
		return
	}
	if err := run(loaded); err != nil {
		fail(err)
	}
}

// checkFiles returns what is wrong with the files that the settings name.
func checkFiles(loaded *settings.Settings) error {
	if loaded.TLS == nil {
		return nil
	}
	return tlsconf.Check(loaded.TLS.CertFile, loaded.TLS.KeyFile, time.Now())
}

// run runs one incarnation after the other until the process is to end.
func run(loaded *settings.Settings) error {
	runtime.GOMAXPROCS(min(runtime.GOMAXPROCS(0), loaded.Limits.MaxProcessors))
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	var rivalry node.RestartBackoff
	for {
		again, err := runOnce(loaded, signals, &rivalry)
		if err != nil || !again {
			return err
		}
	}
}

// runOnce runs one incarnation; again is true when it was declared dead and
// the process goes on as a new one.
func runOnce(loaded *settings.Settings, signals <-chan os.Signal, rivalry *node.RestartBackoff) (again bool, err error) {
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
		return wait(n.RestartPause(rivalry), signals), nil
	case notice := <-n.ReclaimNotices():
		n.Reclaim(notice)
		return false, nil
	case <-n.DrainRequests():
	case <-signals:
	}
	limit := time.Duration(loaded.Limits.DrainTimeoutMs) * time.Millisecond
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	n.Drain(ctx)
	return false, nil
}

// wait waits for pause and reports whether no signal came meanwhile.
func wait(pause time.Duration, signals <-chan os.Signal) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-signals:
		return false
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "mangoledged:", err)
	os.Exit(1)
}
