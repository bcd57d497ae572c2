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
	// Confirmed is true once the store was known to hold the report. Only confirmed reports are
	// sent: a call that was not answered may create one in a later era of the store, where the
	// report that was sent before is lost.
	Confirmed bool `json:"confirmed,omitempty"`
}

// encode returns the object that stores the report. With a version, it replaces that version.
func (r Report) encode(version objects.Version) (objects.Object, error) {
	spec, err := json.Marshal(r)
	if err != nil {
		return objects.Object{}, errors.Wrap(err, "report")
	}
	metadata := objects.Metadata{Name: reportName(r.Window), ResourceVersion: version}
	return objects.Object{Kind: KindReports, Metadata: metadata, Spec: spec}, nil
}

// reportName returns the name of the object that stores the report of a window.
func reportName(window int64) string { return strconv.FormatInt(window, 10) }

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

// createOrLoadReport returns the report of a window that may be sent: the stored one, or the counts
// as summed by this node, which it stores first.
func (r *Reporter) createOrLoadReport(ctx context.Context, window int64) (Report, error) {
	report, version, err := r.loadOrCreate(ctx, window)
	switch {
	case err != nil:
		return report, err
	case report.Confirmed, len(report.Counts) == 0:
		return report, nil
	case r.maybeLost(window):
		// The store may have created it late, in place of a report that it lost.
		return report, errMaybeReported
	}
	report.Confirmed = true
	object, err := report.encode(version)
	if err != nil {
		return report, err
	}
	_, err = r.Store.Update(ctx, object)
	return report, err
}

// loadOrCreate returns the stored report of a window with its version. If there is none, it stores
// the counts as summed by this node, unless an earlier report may have been lost.
func (r *Reporter) loadOrCreate(ctx context.Context, window int64) (Report, objects.Version, error) {
	if r.maybeLost(window) {
		report, version, err := r.loadReport(ctx, window)
		if objects.KindOf(err) == objects.KindNotFound {
			err = errMaybeReported
		}
		return report, version, err
	}
	report := Report{Window: window, Counts: r.Sum(window)}
	object, err := report.encode(0)
	if err != nil {
		return report, 0, err
	}
	stored, err := r.Store.Create(ctx, object)
	if objects.KindOf(err) == objects.KindConflict {
		return r.loadReport(ctx, window)
	}
	return report, stored.Metadata.ResourceVersion, err
}

// loadReport returns the stored report of a window and its version.
func (r *Reporter) loadReport(ctx context.Context, window int64) (Report, objects.Version, error) {
	var report Report
	stored, err := r.Store.Get(ctx, KindReports, reportName(window))
	if err != nil {
		return report, 0, err
	}
	err = json.Unmarshal(stored.Spec, &report)
	return report, stored.Metadata.ResourceVersion, errors.Wrapf(err, "report of window %d", window)
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
