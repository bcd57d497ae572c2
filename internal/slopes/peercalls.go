package slopes

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/grant"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
)

// measureWitnessCalls measures the calls that advance a request's record at its witness,
// in the order in which a request makes them.
func measureWitnessCalls(caller *measuredCaller, home ident.Incarnation, specs []*request.Spec) []Figure {
	return []Figure{
		caller.measure("claim", "Witness.Claim", func(n int) (args, reply any) {
			return &grant.ClaimRequest{ID: specs[n].ID, Holder: home, Spec: specs[n]}, new(grant.ClaimReply)
		}),
		caller.measure("grant", "Witness.Grant", func(n int) (args, reply any) {
			return &grant.Request{ID: specs[n].ID, Holder: home, Epoch: 1}, new(grant.Reply)
		}),
		caller.measure("progress", "Witness.Progress", func(n int) (args, reply any) {
			return &grant.ProgressRequest{ID: specs[n].ID, Holder: home, Epoch: 1, Upstream: "u1", Generation: "g1", Tokens: tokensOf(progressTokens)}, new(grant.UpdateReply)
		}),
		caller.measure("progress_batch", "Witness.ProgressBatch", func(n int) (args, reply any) {
			reports := make([]grant.ProgressRequest, batchReports)
			for i := range reports {
				id := specs[(n+i)%peerCallCount].ID
				reports[i] = grant.ProgressRequest{ID: id, Holder: home, Epoch: 1, Upstream: "u1", Generation: "g1", Offset: progressTokens, Tokens: tokensOf(progressTokens)}
			}
			return &grant.ProgressBatch{Reports: reports}, new(grant.ProgressBatchReply)
		}),
		caller.measure("finish", "Witness.Finish", func(n int) (args, reply any) {
			done := request.Record{Phase: request.PhaseDone, Holder: home, Epoch: 1, Generation: "g1", Tokens: tokensOf(answerTokens)}
			return &grant.FinishRequest{ID: specs[n].ID, Holder: home, Epoch: 1, Record: done}, new(grant.UpdateReply)
		}),
	}
}

const (
	// firstSerial is the serial of the first reservation. A node that has run for an hour
	// has made more reservations than that.
	firstSerial = 1 << 17
	// reportedTokenInterval is the time between two tokens that a release reports.
	reportedTokenInterval = 35 * time.Millisecond
	// confirmCount is how often the list of an owner is confirmed, confirmInterval the time
	// between two confirmations. An owner that had no confirmations for a time chooses from
	// its list again only after this.
	confirmCount    = 20
	confirmInterval = 100 * time.Millisecond
)

// errNotGranted is returned if a reservation was refused: the reply is then shorter, so the
// figure of bytes would be too small.
var errNotGranted = errors.New("a reservation was refused, whose answer is shorter")

// confirmList confirms the list of an owner until the owner grants reservations.
func confirmList(ledger *owner.Ledger) {
	for range confirmCount {
		ledger.Table().Confirm(time.Now())
		time.Sleep(confirmInterval)
	}
}

// measureOwnerCalls measures the reservation of a slot and its release.
func measureOwnerCalls(caller *measuredCaller, home ident.Incarnation, specs []*request.Spec) []Figure {
	ledger := caller.server.ledger
	confirmList(ledger)
	idOf := func(n int) owner.ReservationID {
		return owner.ReservationID{Holder: home.Hash(), Serial: firstSerial + uint64(n)} //nolint:gosec // n is at least -1
	}
	argsOf := func(n int) *owner.ReserveArgs {
		return &owner.ReserveArgs{
			ID: idOf(n), Model: "model-0", Blocks: routing.Blocks(nil, "model-0", "", specs[n].Input),
			PromptTokens: promptBytes / tokenBytes, MaxTokens: answerTokens,
			Urgency: request.UrgencyOf(specs[n].Deadline, answerTokens*reportedTokenInterval),
		}
	}
	ended := routing.Outcome{PerToken: reportedTokenInterval}
	replies := make([]owner.ReserveReply, peerCallCount)
	figures := []Figure{
		caller.measure("reserve", owner.MethodReserve, func(n int) (args, reply any) {
			ledger.Table().Confirm(time.Now())
			ledger.Release(time.Now(), idOf(n-1), ended) // so that there is a slot for each
			return argsOf(n), &replies[n]
		}),
		caller.measure("release", owner.MethodRelease, func(n int) (args, reply any) {
			ledger.Reserve(time.Now(), argsOf(n))
			return &owner.ReleaseArgs{ID: idOf(n), Outcome: ended}, new(owner.ReleaseReply)
		}),
	}
	if slices.ContainsFunc(replies, func(r owner.ReserveReply) bool { return !r.Granted }) {
		caller.err = firstError(caller.err, errNotGranted)
	}
	return figures
}

// measureGateCalls measures getting a pass from a content's gate and returning it.
func measureGateCalls(caller *measuredCaller, home ident.Incarnation, specs []*request.Spec) []Figure {
	return []Figure{
		caller.measure("gate_acquire", poison.MethodAcquire, func(n int) (args, reply any) {
			id := poison.PassID{Holder: home.Hash(), Serial: uint64(n)}
			return &poison.AcquireArgs{Fingerprint: poison.FingerprintOf("model-0", "", "", specs[n].Input), ID: id, Hold: deadlineAfter}, new(poison.AcquireReply)
		}),
		caller.measure("gate_release", poison.MethodRelease, func(n int) (args, reply any) {
			id := poison.PassID{Holder: home.Hash(), Serial: uint64(n)}
			return &poison.ReleaseArgs{Fingerprint: poison.FingerprintOf("model-0", "", "", specs[n].Input), ID: id, Upstream: upstreamN(n).ID, Ending: poison.EndingFinished}, new(poison.ReleaseReply)
		}),
	}
}
