package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"mangoledge.example/mangoledge/internal/standin"
	"mangoledge.example/mangoledge/internal/standin/service"
)

// serviceCommand runs a stand-in plain service.
func serviceCommand(app *kingpin.Application) command {
	cmd := app.Command("service", "Run a stand-in plain service.")
	listen := cmd.Flag("listen", "IP and port.").Required().String()
	options := service.Options{}
	cmd.Flag("id", "Name in the history.").Default("service").StringVar(&options.ID)
	cmd.Flag("delay", "Time that a call takes.").Default("20ms").DurationVar(&options.Delay)
	cmd.Flag("history", "File that the history goes to.").StringVar(&options.HistoryPath)
	return command{clause: cmd, run: func(ctx context.Context) error {
		s, err := service.New(options)
		if err != nil {
			return err
		}
		return standin.Serve(ctx, *listen, s.Handler())
	}}
}
