package cli

import (
	"fmt"

	"mangoledge.example/mangoledge/internal/callerclient"
)

// printer prints the tokens of a stream as they come.
type printer struct {
	callerclient.Silent
	app *app
}

// printer returns what to tell about a request while it runs.
func (a *app) printer(streamed bool) callerclient.Observer {
	if !streamed || a.json() {
		return callerclient.Silent{}
	}
	return &printer{app: a}
}

// Token prints one token.
func (p *printer) Token(_ int, text string) {
	_, _ = fmt.Fprint(p.app.streams.Out, text)
}

// Restart says that what was printed is void.
func (p *printer) Restart() {
	_, _ = fmt.Fprintln(p.app.streams.Out)
	p.app.say("the site had to begin the answer anew; what was printed so far is void")
}

// Retry says that the request goes on elsewhere.
func (p *printer) Retry(address string, reason error) {
	p.app.say("[%s: %v; going on elsewhere]", address, reason)
}
