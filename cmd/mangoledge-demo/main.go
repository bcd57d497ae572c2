// Command mangoledge-demo shows the whole system at work on one machine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"mangoledge.example/mangoledge/internal/demo"
)

// failedExitCode is the exit status when something was lost, run twice or cut off.
const failedExitCode = 2

func main() {
	app := kingpin.New("mangoledge-demo", "Show the whole system at work on one machine.")
	bin := app.Flag("bin", "Folder of the programs.").Required().ExistingDir()
	dir := app.Flag("dir", "Folder for logs and histories; a fresh one by default.").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	os.Exit(run(*bin, *dir))
}

func run(bin, dir string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if dir == "" {
		fresh, err := os.MkdirTemp("", "mangoledge-demo-")
		if err != nil {
			fmt.Fprintln(os.Stderr, "mangoledge-demo:", err)
			return 1
		}
		dir = fresh
	}
	good, err := demo.New(bin, dir, os.Stdout).Run(ctx)
	if err != nil {
		fmt.Fprintf(os.Stderr, "mangoledge-demo: %v (logs in %s)\n", err, dir)
		return 1
	}
	if !good {
		fmt.Fprintln(os.Stderr, "mangoledge-demo: logs in", dir)
		return failedExitCode
	}
	return 0
}
