// Package demo shows the complete system on one machine. It starts the stand-ins and six
// nodes in three failure domains, sends the kinds of requests that users send, and meanwhile
// reclaims hosts and stops a node. Its results are counted from what callers received
// and from what the stand-ins ran, not from what the nodes report.
package demo

import (
	"context"
	"fmt"
	"io"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/callerclient"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/settings"
	"mangoledge.example/mangoledge/internal/testbed"
)

const (
	// enginesPerDomain is the number of engines in each failure domain.
	enginesPerDomain = 2
	// engineSlots is how many requests an engine runs at once.
	engineSlots = 12
	// serviceSlots is how many slots a service is listed with.
	serviceSlots = 16
	// nodesPerDomain is the number of nodes in each failure domain.
	nodesPerDomain = 2
	// sendDuration is the time over which the requests are spread.
	sendDuration = 12 * time.Second
	// reclaimNotice is the time between a reclaim notice and the end of the host.
	reclaimNotice = 2 * time.Second
	// The times after the first request at which the disruptions begin.
	reclaimUpstreamAt = 3 * time.Second
	reclaimNodeAt     = 6 * time.Second
	stopNodeAt        = 9 * time.Second
	// stopTimeout is how long a planned stop of a node may take.
	stopTimeout = 30 * time.Second
)

// domains are the failure domains of the demo.
var domains = []ident.FailureDomain{"d1", "d2", "d3"}

// Demo is one run.
type Demo struct {
	out     io.Writer
	bed     *testbed.Bed
	engines []*testbed.UpstreamProcess
	nodes   []*testbed.Node
	clients map[ident.Workspace]*callerclient.Client
}

// New returns a Demo that runs programs from the directory bin, stores its files in dir
// and writes its report to out.
func New(bin, dir string, out io.Writer) *Demo {
	bed := &testbed.Bed{Bin: bin, Dir: dir, Workspaces: []ident.Workspace{cascadia, laoruum}}
	return &Demo{out: out, bed: bed, clients: make(map[ident.Workspace]*callerclient.Client)}
}

// Run runs the demo and prints its results; passed is false if a request was lost, run
// twice or cut off.
func (d *Demo) Run(ctx context.Context) (passed bool, err error) {
	defer d.bed.Close()
	if err := d.start(ctx); err != nil {
		return false, err
	}
	requests := d.sendRequests(ctx)
	if ctx.Err() != nil {
		return false, errors.Wrap(ctx.Err(), "interrupted")
	}
	entries, err := d.bed.History()
	if err != nil {
		return false, err
	}
	all := requests.all
	printTable(d.out, requests.kinds, all, entries)
	printFailures(d.out, all)
	d.explainMovedRequest(ctx, all)
	total := summarize(all, entries)
	_, _ = fmt.Fprintf(d.out, "demo: %d accepted, %d answered once whole and in time, %d lost, %d run twice, %d cut off\n",
		total.Accepted, total.Answered, total.Lost, total.RanTwice, total.CutOff)
	return total.passed(), nil
}

// printf writes one line to the demo's output.
func (d *Demo) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

// start starts stand-ins and nodes and configures the site.
func (d *Demo) start(ctx context.Context) error {
	d.printf("starting the platform, %d engines, 3 services and %d nodes in %d failure domains",
		enginesPerDomain*len(domains), nodesPerDomain*len(domains), len(domains))
	if _, err := d.bed.StartPlatform(); err != nil {
		return err
	}
	if err := d.bed.OfferHosts(domains...); err != nil {
		return err
	}
	if err := d.startUpstreams(); err != nil {
		return err
	}
	if err := d.startNodes(); err != nil {
		return err
	}
	if err := d.bed.RegisterUpstreams(ctx); err != nil {
		return err
	}
	return d.configure(ctx)
}

// startUpstreams starts the engines and the plain services.
func (d *Demo) startUpstreams() error {
	for _, domain := range domains {
		for i := range enginesPerDomain {
			id := ident.Upstream(fmt.Sprintf("engine-%s-%d", domain, i+1))
			e, err := d.bed.StartEngine(id, modelName, domain, engineSlots)
			if err != nil {
				return err
			}
			d.engines = append(d.engines, e)
		}
	}
	for i, service := range []ident.Service{bayService, dockService, evidenceService} {
		if _, err := d.bed.StartService(ident.Upstream("service-"+service), service, domains[i], serviceSlots); err != nil {
			return err
		}
	}
	return nil
}

// startNodes starts the nodes, and creates a client for each workspace.
func (d *Demo) startNodes() error {
	if err := d.bed.EnablePeerTLS(); err != nil {
		return err
	}
	for i := range nodesPerDomain * len(domains) {
		name := ident.Node(fmt.Sprintf("n%d", i+1))
		n, err := d.bed.StartNode(name, domains[i%len(domains)], func(s *settings.Settings) { s.Limits.AddressKeepMs = 2000 })
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
	}
	for _, workspace := range d.bed.Workspaces {
		d.clients[workspace] = d.bed.Client(workspace, d.nodes...)
	}
	return nil
}

// configure sets the model, services and workspaces with the command-line tool, and
// waits until the site is ready.
func (d *Demo) configure(ctx context.Context) error {
	commands := [][]string{
		{"set", "model", string(modelName), "version=v1", "replicas=6", "priority=5"},
		{"set", "service", string(bayService), "repeatable=true"},
		{"set", "service", string(dockService), "repeatable=false"},
		{"set", "service", string(evidenceService), "repeatable=false"},
		{"set", "workspace", string(cascadia), "share=1"},
		{"set", "workspace", string(laoruum), "share=1"},
	}
	for _, args := range commands {
		if err := d.runCLI(ctx, args...); err != nil {
			return err
		}
	}
	return d.waitUntilReady(ctx)
}

// runCLI runs the command-line tool as an operator and prints the command and its output.
func (d *Demo) runCLI(ctx context.Context, args ...string) error {
	cmd := exec.CommandContext(ctx, filepath.Join(d.bed.Bin, "mangoledge"), args...)
	cmd.Env = append(cmd.Environ(),
		"MANGOLEDGE_OPERATOR_ADDR=http://"+d.nodes[0].Settings.OperatorListen,
		"MANGOLEDGE_TOKEN="+testbed.OperatorToken)
	output, err := cmd.CombinedOutput()
	_, _ = fmt.Fprintf(d.out, "$ mangoledge")
	for _, arg := range args {
		_, _ = fmt.Fprintf(d.out, " %s", arg)
	}
	_, _ = fmt.Fprintf(d.out, "\n%s", output)
	return errors.Wrap(err, "mangoledge")
}

// waitUntilReady sends a small request and returns an error unless it is answered.
func (d *Demo) waitUntilReady(ctx context.Context) error {
	k := kind{name: "chat", workspace: laoruum, tokens: 2, deadline: 20 * time.Second}
	result := d.clients[laoruum].Send(ctx, k.submission("ready?"), callerclient.NopObserver{})
	if result.Outcome != callerclient.OutcomeComplete {
		return errors.Newf("the site is not ready: %v", result.Err)
	}
	return nil
}

// explainMovedRequest prints the site's explanation of the first complete request that was moved.
func (d *Demo) explainMovedRequest(ctx context.Context, requests []*sentRequest) {
	for _, s := range requests {
		if s.result.Moves > 0 && s.complete() {
			if err := d.runCLI(ctx, "explain", "request", s.result.ID); err != nil {
				d.printf("explain: %v", err)
			}
			return
		}
	}
	d.printf("no request had to be moved in this run")
}
