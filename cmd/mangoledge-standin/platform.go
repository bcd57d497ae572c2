package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"mangoledge.example/mangoledge/internal/standin/platform"
)

// newPlatformCommand returns the subcommand that runs the stand-in of the platform.
func newPlatformCommand(app *kingpin.Application) command {
	clause := app.Command("platform", "Run a stand-in platform: object API, cloud API, host list and weight store.")
	listen := clause.Flag("listen", "IP address and port to listen on.").Default("127.0.0.1:9400").String()
	seed := clause.Flag("seed", "Seed of the random decisions.").Default("1").Uint64()
	return command{clause: clause, run: func(ctx context.Context) error {
		return platform.Run(ctx, *listen, *seed)
	}}
}
