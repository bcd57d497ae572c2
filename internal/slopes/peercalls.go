package slopes

import (
	"time"

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

// ownerCalls measures a slot's reservation and its release.
func ownerCalls(caller *measuredCaller, home ident.Incarnation, specs []*request.Spec) []Figure {
	return []Figure{
		caller.measure("reserve", owner.MethodReserve, func(n int) (args, reply any) {
			id := owner.ReservationID{Holder: home.Hash(), Serial: uint64(n)}
			blocks := routing.Blocks(nil, "model-0", "", specs[n].Input)
			caller.server.ledger.Table().Confirm(time.Now())
			return &owner.ReserveArgs{ID: id, Model: "model-0", Blocks: blocks, PromptTokens: promptBytes / tokenBytes, MaxTokens: answerTokens}, new(owner.ReserveReply)
		}),
		caller.measure("release", owner.MethodRelease, func(n int) (args, reply any) {
			return &owner.ReleaseArgs{ID: owner.ReservationID{Holder: home.Hash(), Serial: uint64(n)}}, new(owner.ReleaseReply)
		}),
	}
}

// gateCalls measures a pass for a content and its return.
func gateCalls(caller *measuredCaller, home ident.Incarnation, specs []*request.Spec) []Figure {
	return []Figure{
		caller.measure("gate_acquire", poison.MethodAcquire, func(n int) (args, reply any) {
			id := poison.PassID{Holder: home.Hash(), Serial: uint64(n)}
			return &poison.AcquireArgs{Fingerprint: poison.Of("model-0", "", "", specs[n].Input), ID: id, Hold: deadlineAfter}, new(poison.AcquireReply)
		}),
		caller.measure("gate_release", poison.MethodRelease, func(n int) (args, reply any) {
			id := poison.PassID{Holder: home.Hash(), Serial: uint64(n)}
			return &poison.ReleaseArgs{Fingerprint: poison.Of("model-0", "", "", specs[n].Input), ID: id, Upstream: upstreamN(n).ID, Ending: poison.EndingFinished}, new(poison.ReleaseReply)
		}),
	}
}
