package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/bounded"
	"mangoledge.example/mangoledge/internal/gateway/routeplan"
	"mangoledge.example/mangoledge/internal/texttable"
)

const (
	// maxPlanBytes bounds a node's answer: 11,000 upstreams at some 300 bytes.
	maxPlanBytes = 4 << 20
	// shownCandidates is how many upstreams a table shows.
	shownCandidates = 12
)

// routeQuestion is what is asked of a node.
type routeQuestion struct {
	node, host, path, service, tokens, prompt string
}

// addExplainRouteCommand adds the command that tells where a node would send a request now.
func (a *app) addExplainRouteCommand() {
	var q routeQuestion
	command := a.addCommand("explain-route", "Tell where a node on the users' platform would send a request now, and why. Nothing is sent.", func(ctx context.Context) (ExitCode, error) {
		plan, err := a.fetchPlan(ctx, q)
		if err != nil {
			return ExitNoAnswer, err
		}
		if a.jsonOutput() {
			return ExitOK, a.printJSON(plan)
		}
		_, err = fmt.Fprint(a.streams.Out, formatPlan(plan))
		return ExitOK, err
	})
	command.Flag("node", "Base URL of the node's metrics listener.").Default("http://127.0.0.1:7615").StringVar(&q.node)
	command.Flag("host", "Host of the request.").Required().StringVar(&q.host)
	command.Flag("path", "Path of the request.").Required().StringVar(&q.path)
	command.Flag("service", "One of the services of a split route; default: the one with the largest share.").StringVar(&q.service)
	command.Flag("tokens", "Prompt tokens and most output tokens, with a comma.").StringVar(&q.tokens)
	command.Flag("prompt", "Parts of the prompt in order: ID:TOKENS,ID:TOKENS.").StringVar(&q.prompt)
}

func (q routeQuestion) url() string {
	values := url.Values{"host": {q.host}, "path": {q.path}}
	for name, value := range map[string]string{"service": q.service, "tokens": q.tokens, "prompt": q.prompt} {
		if value != "" {
			values.Set(name, value)
		}
	}
	return strings.TrimRight(q.node, "/") + "/v1/explain-route?" + values.Encode()
}

// fetchPlan asks a node.
func (a *app) fetchPlan(ctx context.Context, q routeQuestion) (*routeplan.Plan, error) {
	ctx, cancel := context.WithTimeout(ctx, a.connection.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, q.url(), http.NoBody)
	if err != nil {
		return nil, errors.Wrap(err, "node")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }() // it was read, or an error is returned
	body, err := bounded.ReadAll(response.Body, maxPlanBytes)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, errors.Wrap(err, q.node)
	}
	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("%s: %s: %s", q.node, response.Status, strings.TrimSpace(string(body)))
	}
	var plan routeplan.Plan
	return &plan, errors.Wrap(json.Unmarshal(body, &plan), q.node)
}

// formatPlan returns the plan as text: the decision, then the most likely upstreams.
func formatPlan(p *routeplan.Plan) string {
	var out strings.Builder
	line := func(format string, args ...any) { _, _ = fmt.Fprintf(&out, format+"\n", args...) }
	line("node %s, configuration %d, route %q (%s), service %q", p.Node, p.ConfigVersion, p.Route, p.Kind, p.Service)
	switch p.Decision {
	case routeplan.Refused:
		line("refused: %s", p.Reason)
	case routeplan.LeastCost:
		line("sent to the upstream of least cost")
	case routeplan.CachedPrompt:
		line("sent to where its prompt is cached: its cost there is not above the level of %.0f ms", p.LevelMs)
	case routeplan.Shares:
		line("sent to one of those below the level of %.0f ms, by its share", p.LevelMs)
	}
	line("load of %d other nodes known, %d ms old; about %.1f requests sent by them since", p.Nodes, p.FiguresAgeMs, p.UnseenRequests)
	var rows [][]string
	for _, c := range p.Candidates[:min(len(p.Candidates), shownCandidates)] {
		rows = append(rows, []string{
			c.Upstream, c.FailureDomain, fmt.Sprintf("%.0f%%", 100*c.Probability), fmt.Sprintf("%.0f", c.WaitMs), fmt.Sprintf("%.0f", c.OwnMs),
			fmt.Sprint(c.UncachedTokens), fmt.Sprint(c.OpenHere), fmt.Sprint(c.OpenElsewhere),
			fmt.Sprintf("%.2f", c.Slowdown), fmt.Sprintf("%.2f", c.FailureRate), c.Unavailable,
		})
	}
	if len(rows) > 0 {
		head := []string{"upstream", "failureDomain", "probability", "waitMs", "ownMs", "uncached", "openHere", "openElsewhere", "slowdown", "failures", "unavailable"}
		out.WriteString(texttable.Format(head, rows))
	}
	if hidden := len(p.Candidates) - len(rows); hidden > 0 {
		line("and %d more (--output json shows all)", hidden)
	}
	return out.String()
}
