package cli

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
)

// resumeFlags are the flags of the resume command.
type resumeFlags struct {
	id, generation string
	offset         int
	deadline       time.Duration
}

// addResumeCommand adds the command that continues a streamed request.
func (a *app) addResumeCommand() {
	flags := new(resumeFlags)
	c := a.addCommand("resume", "Go on with a streamed request, from its start or from an offset.", func(ctx context.Context) (ExitCode, error) {
		return a.resume(ctx, flags)
	})
	c.Arg("id", "Request ID.").Required().StringVar(&flags.id)
	c.Flag("offset", "Number of tokens that you already have.").IntVar(&flags.offset)
	c.Flag("generation", "Generation that these tokens belong to; needed with --offset.").StringVar(&flags.generation)
	c.Flag("deadline", "How long to wait for the end.").Default("30s").DurationVar(&flags.deadline)
}

// resume continues a streamed request and prints the rest of its answer.
func (a *app) resume(ctx context.Context, flags *resumeFlags) (ExitCode, error) {
	if flags.offset < 0 || (flags.offset > 0 && flags.generation == "") {
		return ExitUsage, errors.New("--offset is 0 or more, and above 0 it needs --generation")
	}
	client, err := a.connection.callerClient()
	if err != nil {
		return ExitUsage, err
	}
	defer client.Close()
	result := client.Resume(ctx, callerapi.Submission{
		ID:         callerapi.NewOptString(flags.id),
		DeadlineMs: flags.deadline.Milliseconds(),
		Generation: optString(flags.generation),
		// Only the number of the received tokens is known here, not their texts.
		Received: make([]string, flags.offset),
	}, a.observer(true))
	return a.printRequestResult(&result, true)
}
