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

// witnessCalls measures the calls that move a request's record on, in the order of a request.
func witnessCalls(caller *measuredCaller, home ident.Incarnation, specs []*request.Spec) []Figure {
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
	// firstSerial is the number of the first reservation: a node that is up for an hour has made more.
	firstSerial = 1 << 17
	// pace is the time between two tokens that a release tells.
	pace = 35 * time.Millisecond
	// settleLooks and settleLook are how often and at which interval a list is confirmed
	// until an owner that was left alone chooses from it again.
	settleLooks = 20
	settleLook  = 100 * time.Millisecond
)

var errNotGranted = errors.New("a reservation was refused, whose answer is shorter")

// settle confirms the list of an owner until it grants reservations.
func settle(ledger *owner.Ledger) {
	for range settleLooks {
		ledger.Table().Confirm(time.Now())
		time.Sleep(settleLook)
	}
}

// ownerCalls measures a slot's reservation and its release.
func ownerCalls(caller *measuredCaller, home ident.Incarnation, specs []*request.Spec) []Figure {
	ledger := caller.server.ledger
	settle(ledger)
	idOf := func(n int) owner.ReservationID {
		return owner.ReservationID{Holder: home.Hash(), Serial: firstSerial + uint64(n)} //nolint:gosec // a count
	}
	argsOf := func(n int) *owner.ReserveArgs {
		return &owner.ReserveArgs{
			ID: idOf(n), Model: "model-0", Blocks: routing.Blocks(nil, "model-0", "", specs[n].Input),
			PromptTokens: promptBytes / tokenBytes, MaxTokens: answerTokens,
			Urgency: request.UrgencyOf(specs[n].Deadline, answerTokens*pace),
		}
	}
	ended := routing.Outcome{PerToken: pace}
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

// gateCalls measures a pass for a content and its return.
func gateCalls(caller *measuredCaller, home ident.Incarnation, specs []*request.Spec) []Figure {
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
