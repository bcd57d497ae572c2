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

// maxConcurrentListReads bounds the concurrent reads of a node. It is more than one so that a
// hanging read does not block later turns.
const maxConcurrentListReads = 10

// HostLister reads the platform's host list; *hostlist.Client implements it.
type HostLister interface {
	List(ctx context.Context) (hostlist.List, error)
}

// HostListWatch polls the platform's host list for hosts that are leaving. The nodes
// of a site take turns to poll it and broadcast what they find as marks.
type HostListWatch struct {
	hosts   HostLister
	view    membership.View
	leaving *LeavingMarks
	now     func() time.Time
	logger  *slog.Logger
	onList  func(hostlist.List)
}

// NewHostListWatch returns a watch that polls hosts and records marks in leaving. It
// derives whose turn it is from view and the clock now.
func NewHostListWatch(hosts HostLister, view membership.View, leaving *LeavingMarks, now func() time.Time, logger *slog.Logger) *HostListWatch {
	return &HostListWatch{hosts: hosts, view: view, leaving: leaving, now: now, logger: logger}
}

// OnList registers f to be called with each list that this node reads, possibly
// concurrently. It must be called before Run.
func (w *HostListWatch) OnList(f func(hostlist.List)) {
	w.onList = f
}

// Run reads the host list in each of this node's turns until ctx ends.
func (w *HostListWatch) Run(ctx context.Context) {
	var reads errgroup.Group
	reads.SetLimit(maxConcurrentListReads)
	defer func() { _ = reads.Wait() }() // reads report no errors
	for {
		now := w.now()
		turn := TurnAt(now) + 1
		wait.For(ctx, turn.Start().Sub(now))
		if ctx.Err() != nil {
			return
		}
		if w.isOwnTurn(turn) {
			reads.TryGo(func() error { w.read(ctx); return nil })
		}
	}
}

// isOwnTurn reports whether turn belongs to this node.
func (w *HostListWatch) isOwnTurn(turn Turn) bool {
	reader, found := HostListReader(w.view.Members(), turn)
	return found && reader.Incarnation == w.view.Self().Incarnation
}

// read marks the hosts that the list shows as leaving. A failed read is not retried
// before the next turn.
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
			w.logger.Warn("leaving mark of a host not broadcast", "host", string(host.Host), "error", err)
		}
	}
}
