package bench

import (
	"time"

	"mangoledge.example/mangoledge/internal/admission"
	"mangoledge.example/mangoledge/internal/owner"
)

// arrive takes in a job or refuses it.
func (n *node) arrive(j *job) {
	w := n.product.world
	if n.registry.Check(j.print) != nil {
		n.refusePoison(j)
		return
	}
	now := w.clock.wall()
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
		w.close(j, jobRefused)
		return
	}
	j.ticket = t
	j.accepted = true
	n.product.jobs[t] = j
	n.budget.Attempt()
	n.pump()
}

func (n *node) refusePoison(j *job) {
	if !j.poison {
		n.product.world.result.FalseConvictions++
	}
	n.product.world.close(j, jobRefused)
}

// shed ends a job that was accepted and never sent.
func (n *node) shed(t *admission.Ticket) {
	j := n.product.jobs[t]
	delete(n.product.jobs, t)
	n.product.world.close(j, jobRefused)
}

// pump lets waiting jobs ask for slots.
func (n *node) pump() {
	now := n.product.world.clock.wall()
	n.pools = n.admit.Pools(n.pools[:0])
	for _, pool := range n.pools {
		for n.reserving[pool] < n.product.reservers {
			t, ok := n.admit.Next(now, pool)
			if !ok {
				break
			}
			j := n.product.jobs[t]
			n.reserving[pool]++
			j.waiting = true
			n.try(j)
		}
	}
}

// settled ends a job's asking for a slot.
func (n *node) settled(j *job) {
	if j.waiting {
		j.waiting = false
		n.reserving[j.features.Pool()]--
	}
}

// try asks an owner for a slot.
func (n *node) try(j *job) {
	if !j.open() {
		n.settled(j)
		n.pump()
		return
	}
	if n.late(j) {
		n.settled(j)
		n.end(j, jobRefused)
		return
	}
	j.features.Suspect = j.features.Suspect || n.registry.Suspect(j.print)
	n.serial++
	j.serial = n.serial
	if n.product.variant.noOwner {
		n.chooseAlone(j)
		return
	}
	now := n.product.world.clock.wall()
	choice, ok := n.choose(now, j)
	if !ok {
		n.hold(j)
		return
	}
	n.ask(j, choice)
}

// choose returns the owner to ask.
func (n *node) choose(now time.Time, j *job) (owner.Choice, bool) {
	f := j.features
	if n.product.variant.noPrefix {
		f.Blocks = nil
	}
	return n.directory.Choose(now, &f)
}

// late reports whether a job that was not sent can't meet its deadline any more.
func (n *node) late(j *job) bool {
	return j.sent == 0 && n.admit.Overdue(n.product.world.clock.wall(), j.ticket) != nil
}

// hold tries again after a pause.
func (n *node) hold(j *job) {
	w := n.product.world
	w.later(n.number, holdPause+w.clock.jitter(holdPause), func() { n.try(j) })
}
