package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"mangoledge.example/mangoledge/internal/standin/platform"
)

// platformCommand runs the stand-in of the platform.
func platformCommand(app *kingpin.Application) command {
	clause := app.Command("platform", "Object API, cloud API, host list and weight store.")
	listen := clause.Flag("listen", "IP and port.").Default("127.0.0.1:9400").String()
	seed := clause.Flag("seed", "Seed of whatever happens by chance.").Default("1").Uint64()
	return command{clause: clause, run: func(ctx context.Context) error {
		return platform.Run(ctx, *listen, *seed)
	}}
}
