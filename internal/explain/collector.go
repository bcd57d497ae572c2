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
	// peerTimeout limits the time that one node may take to answer.
	peerTimeout = time.Second
	// maxNodesAsked is the maximum number of other nodes asked about one subject; for a
	// request, its home and witness come first.
	maxNodesAsked = 64
)

// Collector collects the journal entries of this node and others.
type Collector struct {
	journal *Journal
	members membership.View
	caller  peer.Caller
}

// NewCollector returns a Collector that reads journal and asks other nodes through caller.
func NewCollector(journal *Journal, members membership.View, caller peer.Caller) *Collector {
	return &Collector{journal: journal, members: members, caller: caller}
}

// Report holds the journal entries of all nodes about a subject.
type Report struct {
	// Entries are in the order of their times.
	Entries []Entry
	// Unresponsive holds the nodes that were asked and did not answer in time.
	Unresponsive []ident.Node
	// NotAsked is the number of nodes not asked because of maxNodesAsked.
	NotAsked int
}

// Explain returns the journal entries of all nodes about subject. Its error is always nil.
func (c *Collector) Explain(ctx context.Context, subject Subject) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	asked, notAsked := c.nodesToAsk(subject)
	lists := make([][]Entry, len(asked)+1)
	unanswered := make([]bool, len(asked))
	lists[len(asked)] = c.journal.Lookup(subject)
	var wait sync.WaitGroup
	for i, member := range asked {
		wait.Go(func() {
			reply := new(LookupReply)
			err := c.caller.Call(ctx, member.PeerAddress, ServiceName+".Lookup", &LookupRequest{Subject: subject}, reply)
			lists[i] = reply.Entries
			unanswered[i] = err != nil
		})
	}
	wait.Wait()
	out := Report{Entries: Merge(lists...), NotAsked: notAsked}
	for i, member := range asked {
		if unanswered[i] {
			out.Unresponsive = append(out.Unresponsive, member.Node)
		}
	}
	return out, nil
}

// nodesToAsk returns the other nodes to ask, and how many are left out.
func (c *Collector) nodesToAsk(subject Subject) ([]membership.Member, int) {
	preferred := homeAndWitness(subject)
	var askFirst, others []membership.Member
	self := c.members.Self().Incarnation
	for _, member := range c.members.Members() {
		if member.Incarnation == self || member.State == membership.StateDead || member.State == membership.StateLeft {
			continue
		}
		if preferred[member.Incarnation] {
			askFirst = append(askFirst, member)
		} else {
			others = append(others, member)
		}
	}
	all := append(askFirst, others...)
	if len(all) <= maxNodesAsked {
		return all, 0
	}
	return all[:maxNodesAsked], len(all) - maxNodesAsked
}

// homeAndWitness returns the home and witness of a request, and nil for other subjects.
func homeAndWitness(subject Subject) map[ident.Incarnation]bool {
	if subject.Kind != KindRequest {
		return nil
	}
	id, err := ident.ParseRequestID(subject.ID)
	if err != nil {
		return nil
	}
	return map[ident.Incarnation]bool{id.Home: true, id.Witness: true}
}
