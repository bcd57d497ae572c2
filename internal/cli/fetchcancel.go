package cli

import (
	"context"
	"fmt"
	"strconv"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/api/callerapi"
	"mangoledge.example/mangoledge/internal/callerclient"
	"mangoledge.example/mangoledge/internal/texttable"
	"mangoledge.example/mangoledge/internal/verdict"
)

// addFetchCommand adds the command that shows the state of a request.
func (a *app) addFetchCommand() {
	var id string
	c := a.addCommand("fetch", "Show the answer of a finished request, or how far it has come.", func(ctx context.Context) (ExitCode, error) {
		return a.printState(ctx, func(client *callerclient.Client) (*callerapi.RequestState, error) { return client.Fetch(ctx, id) })
	})
	c.Arg("id", "Request ID.").Required().StringVar(&id)
}

// addCancelCommand adds the command that cancels a request and shows its state.
func (a *app) addCancelCommand() {
	var id string
	c := a.addCommand("cancel", "Cancel a request. Cancelling twice is harmless.", func(ctx context.Context) (ExitCode, error) {
		return a.printState(ctx, func(client *callerclient.Client) (*callerapi.RequestState, error) { return client.Cancel(ctx, id) })
	})
	c.Arg("id", "Request ID.").Required().StringVar(&id)
}

// printState calls ask with a client and prints the state of the request that it returns.
func (a *app) printState(ctx context.Context, ask func(*callerclient.Client) (*callerapi.RequestState, error)) (ExitCode, error) {
	client, err := a.connection.callerClient()
	if err != nil {
		return ExitUsage, err
	}
	defer client.Close()
	if _, err := client.Addresses(ctx); err != nil {
		return exitCodeOfError(err), err
	}
	state, err := ask(client)
	if err != nil {
		return exitCodeOfError(err), err
	}
	if a.jsonOutput() {
		return ExitOK, a.printJSON(state)
	}
	rows := [][]string{{state.ID, string(state.Phase), strconv.Itoa(state.Tokens.Or(0))}}
	_, err = fmt.Fprint(a.streams.Out, texttable.Format([]string{"id", "phase", "tokens"}, rows))
	if answer, ok := state.Answer.Get(); ok {
		_, err = fmt.Fprintln(a.streams.Out, answer.Output)
	}
	if refusal, ok := state.Refusal.Get(); ok {
		a.printStatus("verdict %s", refusal.Verdict)
		printRefusal(a, &refusal)
	}
	return ExitOK, err
}

// exitCodeOfError returns the exit code for a call of the caller API that failed.
func exitCodeOfError(err error) ExitCode {
	var refused *callerclient.RefusedError
	if errors.As(err, &refused) {
		if exit, ok := exitCodeOfRefusal(verdict.Code(refused.Refusal.Code)); ok {
			return exit
		}
	}
	return ExitNoAnswer
}
