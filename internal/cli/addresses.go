package cli

import (
	"context"
	"fmt"

	"mangoledge.example/mangoledge/internal/texttable"
)

func (a *app) addressesCommand() {
	a.command("addresses", "Show which addresses to use, and how the request IDs of each begin.", func(ctx context.Context) (ExitCode, error) {
		client, err := a.connect.caller()
		if err != nil {
			return ExitUsage, err
		}
		defer client.Close()
		book, err := client.Addresses(ctx)
		if err != nil {
			return exitOfError(err), err
		}
		if a.json() {
			return ExitOK, a.printJSON(book)
		}
		var rows [][]string
		for _, address := range book.Addresses {
			rows = append(rows, []string{address.URL, address.Node, address.FailureDomain, address.RequestIdPrefix})
		}
		_, err = fmt.Fprint(a.streams.Out, texttable.Format([]string{"url", "node", "failureDomain", "requestIdPrefix"}, rows))
		a.say("keep this for %d ms; a request's ID begins with the prefix of the address that it is sent to first", book.KeepMs)
		return ExitOK, err
	})
}
