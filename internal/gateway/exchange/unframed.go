package exchange

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/gateway/httpconn"
	"mangoledge.example/mangoledge/internal/wait"
)

// departureCheckInterval is the interval at which a request checks whether an upstream's entry was
// removed.
const departureCheckInterval = 20 * time.Millisecond

// errMaybeIncomplete means that an unframed response ended, which the framing towards the client would
// state to be complete.
var errMaybeIncomplete = errors.New("the answer may be incomplete")

// confirmComplete returns an error if a response that has ended may be incomplete. The end of an
// unframed one looks the same if the upstream's process ended in the middle of it.
func (a *attempt) confirmComplete(ctx context.Context, response *httpconn.Response) error {
	if !response.Unframed() {
		return nil
	}
	if a.stallTimer != nil {
		a.stallTimer.Stop() // the upstream is not silent, its response has ended
	}
	evidence, err := a.judgeEnd(ctx, response)
	a.options.Metrics.UnframedEndJudged(evidence)
	a.log("end of an unframed answer", "upstream", a.ticket.Upstream.ID, "evidence", string(evidence), "complete", err == nil)
	return err
}

// judgeEnd returns what the end of an unframed response is judged by, and an error if the response may
// be incomplete. The request's deadline does not end the check of the upstream's process: the response is
// there.
func (a *attempt) judgeEnd(ctx context.Context, response *httpconn.Response) (endEvidence, error) {
	end := processEnd{aliveAt: response.PeerAliveAt(), at: time.Now()}
	err := a.options.Pool.Outlived(context.WithoutCancel(ctx), a.ticket.Upstream.Address.String(), end.aliveAt)
	if err == nil {
		return evidenceOutlived, nil
	}
	end.uncertain = errors.Is(err, httpconn.ErrPeerMayBeReplaced)
	evidence := a.awaitReport(ctx, end)
	if evidence.complete() {
		return evidence, nil
	}
	return evidence, errors.Wrapf(err, "the upstream may have ended in the middle of the answer (%s)", evidence)
}

// awaitReport judges an upstream by what the store tells of it. It waits, until ctx ends, while the upstream
// may still prove to live or to have left as planned.
func (a *attempt) awaitReport(ctx context.Context, end processEnd) endEvidence {
	for {
		departure, known := a.options.Upstreams.Departure(a.ticket.Upstream)
		if !known {
			return evidenceUnlisted
		}
		evidence := a.options.PlannedExits.judge(&departure, end, time.Now())
		if evidence != evidencePending {
			return evidence
		}
		if ctx.Err() != nil {
			return evidenceStillListed
		}
		wait.For(ctx, departureCheckInterval)
	}
}
