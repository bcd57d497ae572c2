package cli

import (
	"context"
	"fmt"

	"mangoledge.example/mangoledge/internal/texttable"
)

// addAddressesCommand adds the command that lists the nodes' addresses.
func (a *app) addAddressesCommand() {
	a.addCommand("addresses", "Show which addresses to use, and how the request IDs of each begin.", func(ctx context.Context) (ExitCode, error) {
		client, err := a.connection.callerClient()
		if err != nil {
			return ExitUsage, err
		}
		defer client.Close()
		addressBook, err := client.Addresses(ctx)
		if err != nil {
			return exitCodeOfError(err), err
		}
		if a.jsonOutput() {
			return ExitOK, a.printJSON(addressBook)
		}
		var rows [][]string
		for _, address := range addressBook.Addresses {
			rows = append(rows, []string{address.URL, address.Node, address.FailureDomain, address.RequestIdPrefix})
		}
		_, err = fmt.Fprint(a.streams.Out, texttable.Format([]string{"url", "node", "failureDomain", "requestIdPrefix"}, rows))
		a.printStatus("keep this for %d ms; a request's ID begins with the prefix of the address that it is sent to first", addressBook.KeepMs)
		return ExitOK, err
	})
}
