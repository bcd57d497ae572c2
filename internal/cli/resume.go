package cli

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
)

// resumeFlags say where to go on.
type resumeFlags struct {
	id, generation string
	offset         int
	deadline       time.Duration
}

func (a *app) resumeCommand() {
	flags := new(resumeFlags)
	c := a.command("resume", "Go on with a streamed request, from its start or from an offset.", func(ctx context.Context) (ExitCode, error) {
		return a.resume(ctx, flags)
	})
	c.Arg("id", "Request ID.").Required().StringVar(&flags.id)
	c.Flag("offset", "Number of tokens that you already have.").IntVar(&flags.offset)
	c.Flag("generation", "Generation that these tokens belong to; needed with --offset.").StringVar(&flags.generation)
	c.Flag("deadline", "How long to wait for the end.").Default("30s").DurationVar(&flags.deadline)
}

func (a *app) resume(ctx context.Context, flags *resumeFlags) (ExitCode, error) {
	if flags.offset < 0 || (flags.offset > 0 && flags.generation == "") {
		return ExitUsage, errors.New("--offset is 0 or more, and above 0 it needs --generation")
	}
	client, err := a.connect.caller()
	if err != nil {
		return ExitUsage, err
	}
	defer client.Close()
	result := client.Resume(ctx, callerapi.Submission{
		ID:         callerapi.NewOptString(flags.id),
		DeadlineMs: flags.deadline.Milliseconds(),
		Generation: optional(flags.generation),
		// The texts are not known here; their number is the offset.
		Received: make([]string, flags.offset),
	}, a.printer(true))
	return a.report(&result, true)
}
