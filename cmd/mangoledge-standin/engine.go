package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"mangoledge.example/mangoledge/internal/standin"
	"mangoledge.example/mangoledge/internal/standin/engine"
)

// newEngineCommand returns the subcommand that runs a stand-in engine.
func newEngineCommand(app *kingpin.Application) command {
	clause := app.Command("engine", "Run a stand-in model engine.")
	listen := clause.Flag("listen", "IP address and port to listen on.").Required().String()
	options := engine.Options{}
	clause.Flag("id", "Name in the history.").Default("engine").StringVar(&options.ID)
	clause.Flag("slots", "Maximum number of requests run at once.").Default("16").IntVar(&options.Slots)
	clause.Flag("queue", "Maximum number of further requests that wait.").Default("16").IntVar(&options.Queue)
	clause.Flag("prefill", "Time to compute one token of a prompt.").Default("100us").DurationVar(&options.PrefillPerToken)
	clause.Flag("interval", "Time between two tokens of a stream.").Default("20ms").DurationVar(&options.TokenInterval)
	clause.Flag("poison", "Crash on prompts that contain this text.").StringVar(&options.PoisonMarker)
	clause.Flag("ignore-fencing", "Accept orders with outdated fencing numbers.").BoolVar(&options.IgnoreFencing)
	clause.Flag("cache-blocks", "Capacity of the prefix cache, in blocks.").Default("4096").IntVar(&options.CacheBlocks)
	clause.Flag("seed", "Seed of the random parts of the tokens.").Default("1").Uint64Var(&options.Seed)
	clause.Flag("history", "File to write the history to.").StringVar(&options.HistoryPath)
	endings := endingsFlag(clause)
	return command{clause: clause, run: func(ctx context.Context) error {
		drawer, err := loadEndings(*endings)
		if err != nil {
			return err
		}
		options.Endings = drawer
		e, err := engine.New(options)
		if err != nil {
			return err
		}
		return standin.Serve(ctx, *listen, e.Handler())
	}}
}
