package cli

import (
	"net/http"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"mangoledge.example/mangoledge/internal/callerclient"
	"mangoledge.example/mangoledge/internal/tlsconf"
)

// The environment variables that replace flags.
const (
	envAddr         = "MANGOLEDGE_ADDR"
	envOperatorAddr = "MANGOLEDGE_OPERATOR_ADDR"
	envToken        = "MANGOLEDGE_TOKEN" //nolint:gosec // the name of a variable
	envCA           = "MANGOLEDGE_CA"
)

// connection holds the flags for reaching the site.
type connection struct {
	addr         string
	operatorAddr string
	token        string
	ca           string
	timeout      time.Duration
}

// addFlags adds the flags to app.
func (c *connection) addFlags(app *kingpin.Application) {
	app.Flag("addr", "Base URLs of some nodes for callers, with commas. Any one that is up will do.").
		Envar(envAddr).Default("http://127.0.0.1:7001").StringVar(&c.addr)
	app.Flag("operator-addr", "Base URLs of some nodes for operators, with commas; the first that answers is used.").
		Envar(envOperatorAddr).Default("http://127.0.0.1:7101").StringVar(&c.operatorAddr)
	app.Flag("token", "Token of the caller or operator. Better given by the environment, where others don't see it.").
		Envar(envToken).StringVar(&c.token)
	app.Flag("ca", "PEM file with the certificates to trust. Default: those of the system.").
		Envar(envCA).StringVar(&c.ca)
	app.Flag("timeout", "How long an operator's command may take.").Default("30s").DurationVar(&c.timeout)
}

// transport returns an HTTP transport that trusts the certificates given by the flags.
func (c *connection) transport() (*http.Transport, error) {
	config, err := tlsconf.ClientConfig(c.ca)
	if err != nil {
		return nil, err
	}
	return callerclient.NewTransport(config), nil
}

// callerClient returns a client of the caller API.
func (c *connection) callerClient() (*callerclient.Client, error) {
	transport, err := c.transport()
	if err != nil {
		return nil, err
	}
	return callerclient.New(callerclient.Options{Seeds: urls(c.addr), Token: c.token, Transport: transport}), nil
}

// urls splits a list of base URLs at commas. A URL without a scheme gets http://.
func urls(text string) []string {
	var out []string
	for _, part := range strings.Split(text, ",") {
		part = strings.TrimRight(strings.TrimSpace(part), "/")
		if part == "" {
			continue
		}
		if !strings.Contains(part, "://") {
			part = "http://" + part
		}
		out = append(out, part)
	}
	return out
}
