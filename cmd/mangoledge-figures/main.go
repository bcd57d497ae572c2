// Command mangoledge-figures measures the latency, processor time and memory that a node adds to a
// call of an engine.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"

	"mangoledge.example/mangoledge/internal/figures"
)

func main() {
	app := kingpin.New("mangoledge-figures", "Measure what a node adds to a call of an engine.")
	bin := app.Flag("bin", "Folder of the built programs.").Required().ExistingDir()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := run(*bin); err != nil {
		fmt.Fprintln(os.Stderr, "mangoledge-figures:", err)
		os.Exit(1)
	}
}

func run(bin string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	dir, err := os.MkdirTemp("", "mangoledge-figures-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	return figures.Run(ctx, bin, dir, os.Stdout)
}
