package usage

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/lease"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

// KindReports is the kind of the stored objects that hold usage reports.
const KindReports objects.Kind = "mangoledge-usage"

const (
	// closeDelay is the time between the end of a window and its closing: enough for the last
	// counts of all nodes to arrive, and for small clock differences.
	closeDelay = 2500 * time.Millisecond
	// lookback is how far back a new lease holder looks for unreported windows: reports are due
	// at about that age.
	lookback = 12 * time.Second
)

// Report holds the counts of one window by workspace.
type Report struct {
	Window int64            `json:"window"`
	Counts map[string]int64 `json:"counts"`
}

// Holder checks whether this node holds the lease, and returns its fence.
type Holder interface {
	Check() (lease.Fence, error)
}

// Send sends one report to the platform.
type Send func(ctx context.Context, fence lease.Fence, window int64, counts map[string]int64) error

// Reporter reports the windows while this node holds the lease.
type Reporter struct {
	Store  objects.Store
	Holder Holder
	Send   Send
	// Sum returns the counts of a window over all nodes.
	Sum          func(window int64) map[string]int64
	WindowLength time.Duration
	Now          func() time.Time
	Logger       *slog.Logger

	// next is the first window that this node has not reported; 0 without the lease.
	next int64
}

// ReportDue reports the windows that are due. It is called a few times a second.
func (r *Reporter) ReportDue(ctx context.Context) error {
	if _, err := r.Holder.Check(); err != nil {
		r.next = 0
		return nil //nolint:nilerr // a node without the lease has nothing to do
	}
	// last is the latest closed window.
	last := WindowNumber(r.Now().Add(-closeDelay), r.WindowLength) - 1
	first := max(r.next, WindowNumber(r.Now().Add(-lookback), r.WindowLength))
	for window := first; window <= last; window++ {
		if err := r.report(ctx, window); err != nil {
			return errors.Wrapf(err, "window %d", window)
		}
		r.next = window + 1
	}
	return nil
}

// report stores the counts of a window unless they are stored already, and sends them.
func (r *Reporter) report(ctx context.Context, window int64) error {
	report, err := r.createOrLoadReport(ctx, window)
	if err != nil {
		return err
	}
	if len(report.Counts) == 0 {
		return nil
	}
	fence, err := r.Holder.Check()
	if err != nil {
		return err
	}
	if err := r.Send(ctx, fence, window, report.Counts); err != nil {
		return err
	}
	r.Logger.Info("usage reported", "window", window, "fence", fence, "counts", report.Counts)
	return nil
}

// createOrLoadReport stores the counts of a window, as summed by this node, and returns them. If
// a report is already stored, it returns that one.
func (r *Reporter) createOrLoadReport(ctx context.Context, window int64) (Report, error) {
	name := strconv.FormatInt(window, 10)
	report := Report{Window: window, Counts: r.Sum(window)}
	spec, err := json.Marshal(report)
	if err != nil {
		return report, errors.Wrap(err, "report")
	}
	_, err = r.Store.Create(ctx, objects.Object{Kind: KindReports, Metadata: objects.Metadata{Name: name}, Spec: spec})
	if err == nil {
		return report, nil
	}
	if objects.KindOf(err) != objects.KindConflict {
		return report, err
	}
	stored, err := r.Store.Get(ctx, KindReports, name)
	if err != nil {
		return report, err
	}
	var earlier Report
	if err := json.Unmarshal(stored.Spec, &earlier); err != nil {
		return report, errors.Wrapf(err, "report %s", name)
	}
	return earlier, nil
}
