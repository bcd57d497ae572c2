package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"mangoledge.example/mangoledge/internal/standin"
	"mangoledge.example/mangoledge/internal/standin/engine"
)

// engineCommand runs a stand-in engine.
func engineCommand(app *kingpin.Application) command {
	cmd := app.Command("engine", "Run a stand-in model engine.")
	listen := cmd.Flag("listen", "IP and port.").Required().String()
	options := engine.Options{}
	cmd.Flag("id", "Name in the history.").Default("engine").StringVar(&options.ID)
	cmd.Flag("slots", "Requests run at once.").Default("16").IntVar(&options.Slots)
	cmd.Flag("queue", "Requests more that may wait.").Default("16").IntVar(&options.Queue)
	cmd.Flag("prefill", "Time to compute one token of a prompt.").Default("100us").DurationVar(&options.PrefillPerToken)
	cmd.Flag("interval", "Time between two tokens.").Default("20ms").DurationVar(&options.TokenInterval)
	cmd.Flag("poison", "Crash on prompts that hold this text.").StringVar(&options.PoisonMarker)
	cmd.Flag("ignore-fencing", "Take orders with old fencing numbers.").BoolVar(&options.IgnoreFencing)
	cmd.Flag("cache-blocks", "Blocks that the prefix cache holds.").Default("4096").IntVar(&options.CacheBlocks)
	cmd.Flag("seed", "Seed of the tokens.").Default("1").Uint64Var(&options.Seed)
	cmd.Flag("history", "File that the history goes to.").StringVar(&options.HistoryPath)
	return command{clause: cmd, run: func(ctx context.Context) error {
		e, err := engine.New(options)
		if err != nil {
			return err
		}
		return standin.Serve(ctx, *listen, e.Handler())
	}}
}
