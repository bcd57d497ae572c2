package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/callerclient"
)

// stdinPath is the path that stands for standard input.
const stdinPath = "-"

// submissionFlags are the flags for the fields of a submission.
type submissionFlags struct {
	id, workspace, kind, model, adapter, service string
	input, inputFile                             string
	maxTokens, priority                          int
	deadline                                     time.Duration
	notIdempotent, stream                        bool
}

// addFlags adds the flags to c.
func (s *submissionFlags) addFlags(c *kingpin.CmdClause) {
	c.Flag("kind", "Kind of work, such as draft or dock-hold.").Required().StringVar(&s.kind)
	c.Flag("model", "Model to run.").StringVar(&s.model)
	c.Flag("adapter", "Adapter of the model.").StringVar(&s.adapter)
	c.Flag("service", "Plain service to call instead of a model.").StringVar(&s.service)
	c.Flag("input", "Prompt, or payload of the service call.").StringVar(&s.input)
	c.Flag("input-file", "File that holds the input; - for standard input.").StringVar(&s.inputFile)
	c.Flag("deadline", "Time from now until which the answer is of use.").Default("30s").DurationVar(&s.deadline)
	c.Flag("max-tokens", "Most tokens to generate.").Default("256").IntVar(&s.maxTokens)
	c.Flag("priority", "0 to 9, 9 the most urgent.").Default("5").IntVar(&s.priority)
	c.Flag("not-idempotent", "Running it twice would do harm: it is run at most once.").BoolVar(&s.notIdempotent)
	c.Flag("stream", "Print the answer token by token.").BoolVar(&s.stream)
	c.Flag("workspace", "Workspace; that of the token when not given.").StringVar(&s.workspace)
	c.Flag("id", "Request ID of an earlier send, to send the same request again.").StringVar(&s.id)
}

// submission reads the input and returns the submission.
func (s *submissionFlags) submission(in io.Reader) (callerapi.Submission, error) {
	input, err := s.readInput(in)
	if err != nil {
		return callerapi.Submission{}, err
	}
	out := callerapi.Submission{
		Kind:       s.kind,
		Input:      input,
		DeadlineMs: s.deadline.Milliseconds(),
		MaxTokens:  callerapi.NewOptInt(s.maxTokens),
		Priority:   callerapi.NewOptInt(s.priority),
		Idempotent: callerapi.NewOptBool(!s.notIdempotent),
		Stream:     callerapi.NewOptBool(s.stream),
		ID:         optString(s.id),
		Workspace:  optString(s.workspace),
		Model:      optString(s.model),
		Adapter:    optString(s.adapter),
		Service:    optString(s.service),
	}
	if err := out.Validate(); err != nil {
		return callerapi.Submission{}, err
	}
	return out, nil
}

// readInput returns the input given by flag, file or in.
func (s *submissionFlags) readInput(in io.Reader) (string, error) {
	switch {
	case s.input != "" && s.inputFile != "":
		return "", errors.New("give either --input or --input-file")
	case s.inputFile == stdinPath:
		data, err := io.ReadAll(in)
		return string(data), err
	case s.inputFile != "":
		data, err := os.ReadFile(s.inputFile)
		return string(data), err
	}
	return s.input, nil
}

// optString returns text as an optional value, which is unset if text is empty.
func optString(text string) callerapi.OptString {
	if text == "" {
		return callerapi.OptString{}
	}
	return callerapi.NewOptString(text)
}

// addSendCommand adds the command that sends a request.
func (a *app) addSendCommand() {
	flags := new(submissionFlags)
	c := a.addCommand("send", "Send a request and wait for its answer. It is sent again with the same ID when a connection is lost.", func(ctx context.Context) (ExitCode, error) {
		return a.send(ctx, flags)
	})
	flags.addFlags(c)
}

// send sends a request, waits for its answer and prints it. It prints the request ID before
// sending.
func (a *app) send(ctx context.Context, flags *submissionFlags) (ExitCode, error) {
	submission, err := flags.submission(a.streams.In)
	if err != nil {
		return ExitUsage, err
	}
	client, err := a.connection.callerClient()
	if err != nil {
		return ExitUsage, err
	}
	defer client.Close()
	if flags.id == "" {
		id, err := client.NewID(ctx)
		if err != nil {
			return exitCodeOfError(err), err
		}
		submission.ID = callerapi.NewOptString(id)
	}
	a.printStatus("request %s", submission.ID.Value)
	result := client.Send(ctx, submission, a.observer(flags.stream))
	return a.printRequestResult(&result, flags.stream)
}

// printRequestResult prints the result of a request and returns its exit code. The tokens of a
// stream have been printed before, except with JSON output.
func (a *app) printRequestResult(result *callerclient.Result, streamed bool) (ExitCode, error) {
	exit := exitCodeOfResult(result)
	if a.jsonOutput() {
		return exit, a.printJSON(resultOf(result))
	}
	if streamed {
		_, _ = fmt.Fprintln(a.streams.Out)
	}
	if exit == ExitOK {
		if !streamed {
			_, _ = fmt.Fprintln(a.streams.Out, result.Output)
		}
		a.printStatus("whole answer in %s: %d attempt(s), %d move(s)", result.Finished.Sub(result.Started).Round(time.Millisecond), result.Attempts, result.Moves)
		return exit, nil
	}
	a.printStatus("%s: verdict %s after %d attempt(s)", result.Outcome, result.Verdict, result.Attempts)
	if result.Refusal != nil {
		printRefusal(a, result.Refusal)
		return exit, nil
	}
	return exit, result.Err
}

// printRefusal prints the details of a refusal to standard error.
func printRefusal(a *app, refusal *callerapi.Refusal) {
	a.printStatus("%s: %s", refusal.Code, refusal.Message)
	if field, ok := refusal.Field.Get(); ok && field != "" {
		a.printStatus("field at fault: %s", field)
	}
	if after, ok := refusal.RetryAfterMs.Get(); ok && after > 0 {
		a.printStatus("come back in %d ms", after)
	}
}
