// Command mangoledge-standin runs one of the stand-ins that tests and the demo
// use in place of model engines, plain services and the platform.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

// command is one subcommand: its clause and what it does.
type command struct {
	clause *kingpin.CmdClause
	run    func(context.Context) error
}

// commands returns every subcommand; each stands in a file of its own.
func commands(app *kingpin.Application) []command {
	return []command{
		engineCommand(app),
		platformCommand(app),
		serviceCommand(app),
	}
}

func main() {
	app := kingpin.New("mangoledge-standin", "Stand-ins for model engines, plain services and the platform.")
	all := commands(app)
	chosen := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range all {
		if c.clause.FullCommand() != chosen {
			continue
		}
		if err := c.run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "mangoledge-standin:", err)
			os.Exit(1) //nolint:gocritic // the signal handler dies with the process
		}
	}
}
