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

func (a *app) fetchCommand() {
	var id string
	c := a.command("fetch", "Show the answer of a finished request, or how far it has come.", func(ctx context.Context) (ExitCode, error) {
		return a.state(ctx, func(client *callerclient.Client) (*callerapi.RequestState, error) { return client.Fetch(ctx, id) })
	})
	c.Arg("id", "Request ID.").Required().StringVar(&id)
}

func (a *app) cancelCommand() {
	var id string
	c := a.command("cancel", "Cancel a request. Cancelling twice is harmless.", func(ctx context.Context) (ExitCode, error) {
		return a.state(ctx, func(client *callerclient.Client) (*callerapi.RequestState, error) { return client.Cancel(ctx, id) })
	})
	c.Arg("id", "Request ID.").Required().StringVar(&id)
}

func (a *app) state(ctx context.Context, ask func(*callerclient.Client) (*callerapi.RequestState, error)) (ExitCode, error) {
	client, err := a.connect.caller()
	if err != nil {
		return ExitUsage, err
	}
	defer client.Close()
	if _, err := client.Addresses(ctx); err != nil {
		return exitOfError(err), err
	}
	state, err := ask(client)
	if err != nil {
		return exitOfError(err), err
	}
	if a.json() {
		return ExitOK, a.printJSON(state)
	}
	rows := [][]string{{state.ID, string(state.Phase), strconv.Itoa(state.Tokens.Or(0))}}
	_, err = fmt.Fprint(a.streams.Out, texttable.Format([]string{"id", "phase", "tokens"}, rows))
	if answer, ok := state.Answer.Get(); ok {
		_, err = fmt.Fprintln(a.streams.Out, answer.Output)
	}
	if refusal, ok := state.Refusal.Get(); ok {
		a.say("verdict %s", refusal.Verdict)
		sayRefusal(a, &refusal)
	}
	return ExitOK, err
}

// exitOfError is the exit code of a question that got no answer.
func exitOfError(err error) ExitCode {
	var refused *callerclient.RefusedError
	if errors.As(err, &refused) {
		if exit, ok := exitOfCode(verdict.Code(refused.Refusal.Code)); ok {
			return exit
		}
	}
	return ExitNoAnswer
}
