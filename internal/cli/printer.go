package cli

import (
	"fmt"

	"mangoledge.example/mangoledge/internal/callerclient"
)

// tokenPrinter prints the tokens of a stream as they arrive.
type tokenPrinter struct {
	callerclient.NopObserver
	app *app
}

// observer returns a tokenPrinter for a streamed request, and an observer that prints
// nothing for other requests and JSON output.
func (a *app) observer(streamed bool) callerclient.Observer {
	if !streamed || a.jsonOutput() {
		return callerclient.NopObserver{}
	}
	return &tokenPrinter{app: a}
}

// Token prints one token.
func (p *tokenPrinter) Token(_ int, text string) {
	_, _ = fmt.Fprint(p.app.streams.Out, text)
}

// Restart reports that the tokens printed so far are invalid.
func (p *tokenPrinter) Restart() {
	_, _ = fmt.Fprintln(p.app.streams.Out)
	p.app.printStatus("the site had to begin the answer anew; what was printed so far is void")
}

// Retry reports that the request failed at address and is sent to another one.
func (p *tokenPrinter) Retry(address string, reason error) {
	p.app.printStatus("[%s: %v; going on elsewhere]", address, reason)
}
