package explain

import (
	"context"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
)

const (
	// peerTimeout is how long one node may take to answer.
	peerTimeout = time.Second
	// maxAsked is the most nodes asked about one subject; a request's own nodes are asked first.
	maxAsked = 64
)

// Collector gathers what this node and the others remember.
type Collector struct {
	journal *Journal
	members membership.View
	caller  peer.Caller
}

// NewCollector returns a Collector.
func NewCollector(journal *Journal, members membership.View, caller peer.Caller) *Collector {
	return &Collector{journal: journal, members: members, caller: caller}
}

// Report is what the nodes remember about a subject.
type Report struct {
	Entries []Entry
	// Silent are the nodes that were asked and did not answer in time.
	Silent []ident.Node
	// NotAsked is how many nodes were not asked because there are too many.
	NotAsked int
}

// Explain returns what the nodes remember about subject.
func (c *Collector) Explain(ctx context.Context, subject Subject) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	asked, left := c.whom(subject)
	lists := make([][]Entry, len(asked)+1)
	silent := make([]bool, len(asked))
	lists[len(asked)] = c.journal.Lookup(subject)
	var wait sync.WaitGroup
	for i, member := range asked {
		wait.Go(func() {
			reply := new(LookupReply)
			err := c.caller.Call(ctx, member.PeerAddress, ServiceName+".Lookup", &LookupRequest{Subject: subject}, reply)
			lists[i] = reply.Entries
			silent[i] = err != nil
		})
	}
	wait.Wait()
	out := Report{Entries: Merge(lists...), NotAsked: left}
	for i, member := range asked {
		if silent[i] {
			out.Silent = append(out.Silent, member.Node)
		}
	}
	return out, nil
}

// whom lists the nodes to ask, and counts those left out.
func (c *Collector) whom(subject Subject) ([]membership.Member, int) {
	first := ownNodes(subject)
	var own, others []membership.Member
	self := c.members.Self().Incarnation
	for _, member := range c.members.Members() {
		if member.Incarnation == self || member.State == membership.StateDead || member.State == membership.StateLeft {
			continue
		}
		if first[member.Incarnation] {
			own = append(own, member)
		} else {
			others = append(others, member)
		}
	}
	all := append(own, others...)
	if len(all) <= maxAsked {
		return all, 0
	}
	return all[:maxAsked], len(all) - maxAsked
}

// ownNodes returns home and witness of a request.
func ownNodes(subject Subject) map[ident.Incarnation]bool {
	if subject.Kind != KindRequest {
		return nil
	}
	id, err := ident.ParseRequestID(subject.ID)
	if err != nil {
		return nil
	}
	return map[ident.Incarnation]bool{id.Home: true, id.Witness: true}
}
