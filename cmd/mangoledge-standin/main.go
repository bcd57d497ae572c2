// Command mangoledge-standin runs one of the stand-ins that replace model engines, plain services
// and the platform in tests and the demo.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

// command is a subcommand and the function that executes it.
type command struct {
	clause *kingpin.CmdClause
	run    func(context.Context) error
}

// newCommands returns all subcommands; each is defined in a file of its own.
func newCommands(app *kingpin.Application) []command {
	return []command{
		newEngineCommand(app),
		newPlatformCommand(app),
		newServiceCommand(app),
	}
}

func main() {
	app := kingpin.New("mangoledge-standin", "Stand-ins for model engines, plain services and the platform.")
	all := newCommands(app)
	selected := kingpin.MustParse(app.Parse(os.Args[1:]))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	for _, c := range all {
		if c.clause.FullCommand() != selected {
			continue
		}
		if err := c.run(ctx); err != nil {
			fmt.Fprintln(os.Stderr, "mangoledge-standin:", err)
			os.Exit(1) //nolint:gocritic // os.Exit skips the deferred stop, but the signal handler ends with the process anyway
		}
	}
}
