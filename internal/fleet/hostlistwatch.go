package fleet

import (
	"context"
	"log/slog"
	"time"

	"golang.org/x/sync/errgroup"

	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/platform/hostlist"
	"mangoledge.example/mangoledge/internal/wait"
)

// maxListReads is how many reads a node has in progress at once: one that hangs holds
// up no later turn.
const maxListReads = 10

// HostLister reads the platform's host list; *hostlist.Client is one.
type HostLister interface {
	List(ctx context.Context) (hostlist.List, error)
}

// HostListWatch learns from the platform's host list which hosts are leaving. The
// nodes of a site read it by turns, and tell the others by marks.
type HostListWatch struct {
	hosts   HostLister
	view    membership.View
	leaving *Leaving
	now     func() time.Time
	logger  *slog.Logger
	onList  func(hostlist.List)
}

// NewHostListWatch returns a watch of the list hosts that marks in leaving; view and the
// clock now tell whose turn it is.
func NewHostListWatch(hosts HostLister, view membership.View, leaving *Leaving, now func() time.Time, logger *slog.Logger) *HostListWatch {
	return &HostListWatch{hosts: hosts, view: view, leaving: leaving, now: now, logger: logger}
}

// OnList has f called with each list that this node reads, possibly several at a time.
// It comes before Run.
func (w *HostListWatch) OnList(f func(hostlist.List)) {
	w.onList = f
}

// Run reads whenever it is this node's turn until ctx ends.
func (w *HostListWatch) Run(ctx context.Context) {
	var reads errgroup.Group
	reads.SetLimit(maxListReads)
	defer func() { _ = reads.Wait() }() // reads report no errors
	for {
		now := w.now()
		turn := TurnAt(now) + 1
		wait.For(ctx, turn.Start().Sub(now))
		if ctx.Err() != nil {
			return
		}
		if w.isOwn(turn) {
			reads.TryGo(func() error { w.read(ctx); return nil })
		}
	}
}

// isOwn reports whether a turn is this node's.
func (w *HostListWatch) isOwn(turn Turn) bool {
	reader, found := HostListReader(w.view.Members(), turn)
	return found && reader.Incarnation == w.view.Self().Incarnation
}

// read marks the hosts that the list shows as leaving. What fails is left to the next turn.
func (w *HostListWatch) read(ctx context.Context) {
	list, err := w.hosts.List(ctx)
	if err != nil {
		return
	}
	if w.onList != nil {
		w.onList(list)
	}
	for _, host := range list.Hosts {
		if !host.Leaving {
			continue
		}
		if err := w.leaving.MarkHost(host.Host, w.now(), SourceHostList); err != nil {
			w.logger.Warn("a leaving host could not be told to other nodes", "host", string(host.Host), "error", err)
		}
	}
}
