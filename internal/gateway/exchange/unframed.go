package exchange

import (
	"context"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/httpconn"
)

// errMaybeIncomplete means that an unframed response ended, which the framing towards the client would
// state to be complete.
var errMaybeIncomplete = errors.New("the answer may be incomplete")

// endEvidence is what the end of an unframed response was judged by, as written in logs and metrics.
type endEvidence string

const (
	// evidenceOutlived means that the upstream's process outlived its response.
	evidenceOutlived endEvidence = "outlived"
	// evidenceLeaving means that the upstream is leaving or has no entry.
	evidenceLeaving endEvidence = "leaving"
	// evidenceEnded means that the upstream's process may have ended in the middle of the response.
	evidenceEnded endEvidence = "ended"
)

// confirmComplete returns an error if a response that has ended may be incomplete. The end of an
// unframed one looks the same if the upstream's process ended in the middle of it. The request's
// deadline does not end the check: the response is there.
func (a *attempt) confirmComplete(ctx context.Context, response *httpconn.Response) error {
	if !response.Unframed() {
		return nil
	}
	evidence, err := a.judgeEnd(ctx)
	a.options.Metrics.UnframedEndJudged(evidence)
	a.log("end of an unframed answer", "upstream", a.ticket.Upstream.ID, "evidence", string(evidence), "complete", err == nil)
	return err
}

// judgeEnd returns what the end of an unframed response is judged by, and an error if the response may
// be incomplete.
func (a *attempt) judgeEnd(ctx context.Context) (endEvidence, error) {
	if a.leavesInGoodOrder() {
		return evidenceLeaving, nil
	}
	err := a.options.Pool.Outlived(context.WithoutCancel(ctx), a.ticket.Upstream.Address.String())
	if err != nil {
		return evidenceEnded, errors.Wrap(err, "the upstream may have ended in the middle of the answer")
	}
	return evidenceOutlived, nil
}

// leavesInGoodOrder reports whether the upstream may end right after its last response, which it
// finishes first. One that is reclaimed ends at a set time, whatever it does.
func (a *attempt) leavesInGoodOrder() bool {
	current, known := a.options.Upstreams.View().All[a.ticket.Upstream.ID]
	if known && current.LeavesIn > 0 {
		return false
	}
	availability, _ := a.options.Balancer.Availability(a.ticket.Upstream)
	return !known || current.Draining || availability == balance.Leaving
}
