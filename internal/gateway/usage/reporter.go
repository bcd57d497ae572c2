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

// errMaybeReported means that a window may have been reported before, with counts that are lost.
var errMaybeReported = errors.New("the window may have been reported")

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
	Sum func(window int64) map[string]int64
	// LostBefore returns the time before which stored reports may have been lost, as the store came
	// back from an older copy; zero if none was. Nil means never.
	LostBefore   func() time.Time
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
	if errors.Is(err, errMaybeReported) {
		r.Logger.Warn("usage not reported: an earlier report may have been lost with the store's last changes", "window", window)
		return nil
	}
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
	if r.maybeLost(window) {
		report, err := r.loadReport(ctx, name)
		if objects.KindOf(err) == objects.KindNotFound {
			err = errMaybeReported
		}
		return report, err
	}
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
	return r.loadReport(ctx, name)
}

// loadReport returns the stored report with the given name.
func (r *Reporter) loadReport(ctx context.Context, name string) (Report, error) {
	stored, err := r.Store.Get(ctx, KindReports, name)
	if err != nil {
		return Report{}, err
	}
	var report Report
	if err := json.Unmarshal(stored.Spec, &report); err != nil {
		return Report{}, errors.Wrapf(err, "report %s", name)
	}
	return report, nil
}

// maybeLost reports whether a window may have been reported by a report that the store lost. The
// clocks of the node that reported it and of this one may differ by closeDelay.
func (r *Reporter) maybeLost(window int64) bool {
	if r.LostBefore == nil {
		return false
	}
	before := r.LostBefore()
	closed := time.Unix(0, (window+1)*int64(r.WindowLength)).Add(closeDelay)
	return !before.IsZero() && closed.Before(before.Add(closeDelay))
}
