package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"mangoledge.example/mangoledge/internal/standin"
	"mangoledge.example/mangoledge/internal/standin/service"
)

// newServiceCommand returns the subcommand that runs a stand-in plain service.
func newServiceCommand(app *kingpin.Application) command {
	clause := app.Command("service", "Run a stand-in plain service.")
	listen := clause.Flag("listen", "IP address and port to listen on.").Required().String()
	options := service.Options{}
	clause.Flag("id", "Name in the history.").Default("service").StringVar(&options.ID)
	clause.Flag("delay", "Duration of a call.").Default("20ms").DurationVar(&options.Delay)
	clause.Flag("history", "File to write the history to.").StringVar(&options.HistoryPath)
	endings := endingsFlag(clause)
	return command{clause: clause, run: func(ctx context.Context) error {
		drawer, err := loadEndings(*endings)
		if err != nil {
			return err
		}
		options.Endings = drawer
		s, err := service.New(options)
		if err != nil {
			return err
		}
		return standin.Serve(ctx, *listen, s.Handler())
	}}
}
