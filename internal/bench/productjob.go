package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/owner"
)

// submit admits a job or refuses it.
func (n *node) submit(j *job) {
	w := n.product.world
	if n.registry.Check(j.fingerprint) != nil {
		n.refusePoison(j)
		return
	}
	now := w.clock.wallTime()
	request := admission.Request{
		Workspace: w.shape.workspaces[j.workspace].name,
		Kind:      j.kind.name,
		Pool:      j.features.Pool(),
		Priority:  j.kind.priority,
		Worth:     j.kind.worth,
		Cost:      n.estimator.Cost(j.kind.name, j.features.MaxTokens),
		Deadline:  epoch.Add(j.deadline),
	}
	if n.product.variant.noAdmission {
		request.Workspace, request.Priority, request.Cost = "all", 0, 0
	}
	t, refusal := n.admit.Admit(now, &request)
	if refusal != nil {
		w.closeJob(j, jobRefused)
		return
	}
	j.ticket = t
	j.accepted = true
	n.product.jobs[t] = j
	n.budget.Attempt()
	n.reserveWaiting()
}

// refusePoison refuses a job as poison.
func (n *node) refusePoison(j *job) {
	if !j.poison {
		n.product.world.result.FalseConvictions++
	}
	n.product.world.closeJob(j, jobRefused)
}

// shed ends a job that was admitted and is shed before it was sent.
func (n *node) shed(t *admission.Ticket) {
	j := n.product.jobs[t]
	delete(n.product.jobs, t)
	n.product.world.closeJob(j, jobRefused)
}

// reserveWaiting lets the next waiting jobs of each pool request slots, up to maxReserving
// at a time.
func (n *node) reserveWaiting() {
	now := n.product.world.clock.wallTime()
	n.pools = n.admit.Pools(n.pools[:0])
	for _, pool := range n.pools {
		for n.reserving[pool] < n.product.maxReserving {
			t, ok := n.admit.Next(now, pool)
			if !ok {
				break
			}
			j := n.product.jobs[t]
			n.reserving[pool]++
			j.reserving = true
			n.requestSlot(j)
		}
	}
}

// stopReserving ends the count of a job as requesting a slot.
func (n *node) stopReserving(j *job) {
	if j.reserving {
		j.reserving = false
		n.reserving[j.features.Pool()]--
	}
}

// requestSlot requests a slot from an owner, or chooses an upstream directly if the run
// uses no owners.
func (n *node) requestSlot(j *job) {
	if !j.open() {
		n.stopReserving(j)
		n.reserveWaiting()
		return
	}
	if n.pastLatestStart(j) {
		n.stopReserving(j)
		n.endJob(j, jobRefused)
		return
	}
	j.features.Suspect = j.features.Suspect || n.registry.Suspect(j.fingerprint)
	n.reservationSerial++
	j.reservationSerial = n.reservationSerial
	if n.product.variant.noOwner {
		n.chooseWithoutOwner(j)
		return
	}
	now := n.product.world.clock.wallTime()
	choice, ok := n.chooseOwner(now, j)
	if !ok {
		n.requestSlotLater(j)
		return
	}
	n.askOwner(j, choice)
}

// chooseOwner returns the owner to request a slot from.
func (n *node) chooseOwner(now time.Time, j *job) (owner.Choice, bool) {
	f := j.features
	if n.product.variant.noPrefix {
		f.Blocks = nil
	}
	return n.directory.Choose(now, &f)
}

// pastLatestStart reports whether a job that was not sent can't meet its deadline any
// more.
func (n *node) pastLatestStart(j *job) bool {
	return j.sent == 0 && n.admit.OverdueRefusal(n.product.world.clock.wallTime(), j.ticket) != nil
}

// requestSlotLater requests a slot again after a pause.
func (n *node) requestSlotLater(j *job) {
	w := n.product.world
	w.afterLocalDelay(n.number, noSlotPause+w.clock.jitter(noSlotPause), func() { n.requestSlot(j) })
}
