// Package demo shows the whole system on one machine: it starts the stand-ins
// and six nodes over three failure domains, sends the users' kinds of work, and
// reclaims and stops hosts meanwhile. What it counts comes from what callers
// received and what the stand-ins ran, not from the nodes.
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
	// serviceSlots is how many calls a service runs at once.
	serviceSlots = 16
	// nodesPerDomain is the number of nodes in each failure domain.
	nodesPerDomain = 2
	// workTime is the time over which the requests are sent.
	workTime = 12 * time.Second
	// reclaimNotice is the notice of every reclaim.
	reclaimNotice = 2 * time.Second
	// The times after the start of work at which things happen.
	reclaimUpstreamAt = 3 * time.Second
	reclaimNodeAt     = 6 * time.Second
	stopNodeAt        = 9 * time.Second
	// stopLimit is how long a planned stop may take.
	stopLimit = 30 * time.Second
)

// domains are the failure domains of the demo.
var domains = []ident.FailureDomain{"d1", "d2", "d3"}

// Demo is one run.
type Demo struct {
	out     io.Writer
	bed     *testbed.Bed
	engines []*testbed.Engine
	nodes   []*testbed.Node
	clients map[ident.Workspace]*callerclient.Client
}

// New returns a demo that takes programs from bin, keeps its files in dir and reports to out.
func New(bin, dir string, out io.Writer) *Demo {
	bed := &testbed.Bed{Bin: bin, Dir: dir, Workspaces: []ident.Workspace{cascadia, laoruum}}
	return &Demo{out: out, bed: bed, clients: make(map[ident.Workspace]*callerclient.Client)}
}

// Run runs the demo; good tells whether nothing was lost, run twice or cut off.
func (d *Demo) Run(ctx context.Context) (good bool, err error) {
	defer d.bed.Close()
	if err := d.start(ctx); err != nil {
		return false, err
	}
	requests := d.work(ctx)
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
	d.explain(ctx, all)
	t := count(all, entries)
	_, _ = fmt.Fprintf(d.out, "demo: %d accepted, %d answered once whole and in time, %d lost, %d run twice, %d cut off\n",
		t.Accepted, t.Answered, t.Lost, t.Twice, t.CutOff)
	return t.good(), nil
}

// say tells the person who watches what happens.
func (d *Demo) say(format string, args ...any) {
	_, _ = fmt.Fprintf(d.out, format+"\n", args...)
}

// start starts stand-ins and nodes and declares model and workspaces.
func (d *Demo) start(ctx context.Context) error {
	d.say("starting the platform, %d engines, 3 services and %d nodes in %d failure domains",
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
	return d.declare(ctx)
}

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

func (d *Demo) startNodes() error {
	if err := d.bed.EncryptPeers(); err != nil {
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

// declare has the CLI declare model, services and workspaces.
func (d *Demo) declare(ctx context.Context) error {
	commands := [][]string{
		{"set", "model", string(modelName), "version=v1", "replicas=6", "priority=5"},
		{"set", "service", string(bayService), "repeatable=true"},
		{"set", "service", string(dockService), "repeatable=false"},
		{"set", "service", string(evidenceService), "repeatable=false"},
		{"set", "workspace", string(cascadia), "share=1"},
		{"set", "workspace", string(laoruum), "share=1"},
	}
	for _, args := range commands {
		if err := d.cli(ctx, args...); err != nil {
			return err
		}
	}
	return d.waitUntilReady(ctx)
}

// cli runs the command-line tool as an operator would.
func (d *Demo) cli(ctx context.Context, args ...string) error {
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

// waitUntilReady waits until a small request is answered.
func (d *Demo) waitUntilReady(ctx context.Context) error {
	k := kind{name: "chat", workspace: laoruum, tokens: 2, deadline: 20 * time.Second}
	result := d.clients[laoruum].Send(ctx, k.submission("ready?"), callerclient.NopObserver{})
	if result.Outcome != callerclient.OutcomeComplete {
		return errors.Newf("the site is not ready: %v", result.Err)
	}
	return nil
}

// explain shows what happened to one request that was moved.
func (d *Demo) explain(ctx context.Context, requests []*sent) {
	for _, s := range requests {
		if s.result.Moves > 0 && s.whole() {
			if err := d.cli(ctx, "explain", "request", s.result.ID); err != nil {
				d.say("explain: %v", err)
			}
			return
		}
	}
	d.say("no request had to be moved in this run")
}
