package exchange

import (
	"time"

	"mangoledge.example/mangoledge/internal/gateway/balance"
	"mangoledge.example/mangoledge/internal/gateway/line"
)

// Shares tells which workspaces have used more than their share of the recent room.
type Shares interface {
	Over(workspace string, weight func(string) float64) bool
}

// decide returns what happens to the request now that an upstream was chosen for it, and logs the
// decision if that is not simply to send it.
func (e *exchange) decide(ticket *balance.Ticket) line.Decision {
	room := line.Room{
		Wait: ticket.ExpectedWait(), Own: ticket.ExpectedLatency() - ticket.ExpectedWait(),
		Late:   e.options.Lateness.Share(e.service.Name),
		Target: e.config.ShortestTarget(e.service.Name),
	}
	r := e.lineRequest()
	r.OverShare = room.Short() && e.overShare()
	decision := line.Decide(&r, &room)
	if decision.Reason != line.ReasonNone {
		e.options.Metrics.RoomShort(e, decision)
		e.log("room is short", "refused", decision.Refuse, "why", string(decision.Reason), "rank", decision.Rank,
			"wait", room.Wait, "own", room.Own, "late", room.Late, "target", room.Target,
			"left", r.Left, "over_share", r.OverShare, "room_in", decision.RoomIn, "upstream", ticket.Upstream.ID)
	}
	return decision
}

// lineRequest returns what the decisions about scarce room take into account.
func (e *exchange) lineRequest() line.Request {
	return line.Request{Rank: e.urgency(), Left: time.Until(e.deadline), Begun: e.mayHaveRun}
}

// recordFirstEvent records that the response has begun.
func (a *attempt) recordFirstEvent() {
	if a.ticket.RecordFirstEvent() {
		target := a.config.ShortestTarget(a.service.Name)
		a.options.Lateness.Record(a.service.Name, target > 0 && time.Since(a.startedAt) > target)
	}
}

// overShare reports whether the request's workspace has used more than its share.
func (e *exchange) overShare() bool {
	if e.workspace == nil {
		return false
	}
	return e.options.Shares.Over(e.workspace.Name, e.workspaceWeight)
}

// workspaceWeight returns the weight of a workspace's share: its quota rate.
func (e *exchange) workspaceWeight(name string) float64 {
	if w := e.config.Workspace(name); w != nil {
		return w.Rate
	}
	return 0
}

// busyRefusal refuses the request for lack of room and spreads the returns.
func (e *exchange) busyRefusal(roomIn time.Duration) *refusal {
	r := e.lineRequest()
	return overloadedRefusal(line.ReturnAfter(&r, roomIn, e.options.Random()))
}
