// Package guard protects upstreams from request contents that crash them: before a request
// runs, its content needs a pass from the gate of one coordinating node.
//
// Invariants: crashes are counted by content, whatever the request ID, workspace or node;
// crashes recorded by one node reach all others by gossip; the crash of an upstream that
// is known to be leaving does not count.
package guard

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/verdict"
)

const (
	// gateTimeout limits the duration of one call to a coordinator.
	gateTimeout = 200 * time.Millisecond
	// gateRetryAfter is when to retry at a gate that is busy with other runs of the content.
	gateRetryAfter = 50 * time.Millisecond
	// dismissWindow is how long before a late reclaim notice crashes are dismissed.
	dismissWindow = 10 * time.Second
)

// Gossip distributes small messages to all nodes; membership.Cluster implements it.
type Gossip interface {
	Publish(topic membership.Topic, key string, version uint64, payload []byte) error
	Subscribe(topic membership.Topic, f func(membership.Rumour))
}

// Guard is a node's registry of crashes, its gate and its client for the gates of other nodes.
type Guard struct {
	members  membership.View
	gossip   Gossip
	registry *poison.Registry
	gate     *poison.Gate
	client   *poison.Client
	logger   *slog.Logger
	serial   atomic.Uint64
}

var _ dispatch.Guard = (*Guard)(nil)

// New returns a guard with no recorded crashes.
func New(members membership.View, gossip Gossip, calls peer.Caller, logger *slog.Logger) *Guard {
	registry := poison.NewRegistry()
	g := &Guard{
		members:  members,
		gossip:   gossip,
		registry: registry,
		gate:     poison.NewGate(registry),
		client:   poison.NewClient(calls),
		logger:   logger,
	}
	gossip.Subscribe(membership.TopicPoison, g.mergeRumour)
	return g
}

// Registry returns the recorded crashes, for operators.
func (g *Guard) Registry() *poison.Registry {
	return g.registry
}

// Service returns the service through which other nodes use this node's gate.
func (g *Guard) Service() *poison.Service {
	return poison.NewService(g.gate, time.Now)
}

// Check returns an error if the content is quarantined.
func (g *Guard) Check(spec *request.Spec) error {
	if refusal := g.registry.Check(fingerprint(spec)); refusal != nil {
		return refusal
	}
	return nil
}

// Suspect reports whether upstreams have crashed while running the content. Two suspects
// never share an upstream.
func (g *Guard) Suspect(spec *request.Spec) bool {
	return g.registry.Suspect(fingerprint(spec))
}

// Acquire requests a pass from the content's gate. A refusal with RetryAfter may be retried.
func (g *Guard) Acquire(ctx context.Context, spec *request.Spec) (dispatch.Pass, error) {
	args := &poison.AcquireArgs{
		Fingerprint: fingerprint(spec),
		ID:          poison.PassID{Holder: g.members.Self().Incarnation.Hash(), Serial: g.serial.Add(1)},
		Hold:        time.Until(spec.Deadline),
	}
	address, local := g.coordinator(args.Fingerprint)
	var reply poison.AcquireReply
	var err error
	if !local {
		limited, cancel := context.WithTimeout(ctx, gateTimeout)
		defer cancel()
		reply, err = g.client.Acquire(limited, address, args)
	}
	if local || err != nil {
		local = true
		reply.Answer = g.gate.Acquire(time.Now(), args.Fingerprint, args.ID, args.Hold)
	}
	switch reply.Answer.Kind {
	case poison.AnswerPass:
		p := &pass{guard: g, fingerprint: args.Fingerprint, id: args.ID, address: address, local: local}
		if reply.Answer.Crashes > 0 && !g.registry.Suspect(args.Fingerprint) {
			// The upstream was chosen before this node knew that the content is suspect; gossip will deliver that soon.
			p.Release("", dispatch.EndingOther)
			return nil, gateBusy()
		}
		return p, nil
	case poison.AnswerWait:
		return nil, gateBusy()
	case poison.AnswerRefuse:
	}
	if reply.Answer.Refusal != nil {
		return nil, reply.Answer.Refusal
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodePoison, "this content crashes upstreams")
}

func gateBusy() *verdict.Error {
	return verdict.New(verdict.NotRun, verdict.CodePoison, "other runs of this content, which has crashed upstreams, must end first").WithRetryAfter(gateRetryAfter)
}

// Reclaimed dismisses recent crashes of an upstream that turned out to have been reclaimed.
func (g *Guard) Reclaimed(upstream ident.Upstream) {
	now := time.Now()
	g.registry.DismissCrashes(upstream, now.Add(-dismissWindow), now)
}

// Clear clears the crashes of the content on all nodes. It returns false if the content is unknown.
func (g *Guard) Clear(f poison.Fingerprint) bool {
	known := g.registry.Clear(time.Now(), f)
	g.publish(f)
	return known
}

// coordinator returns the address of the node whose gate is responsible for f, and whether
// that is this node.
func (g *Guard) coordinator(f poison.Fingerprint) (address string, local bool) {
	self := g.members.Self()
	member, ok := poison.Coordinator(f, self.Region, g.members.Members())
	if !ok || member.Incarnation == self.Incarnation {
		return "", true
	}
	return member.PeerAddress, false
}

// mergeRumour merges the crashes recorded by another node.
func (g *Guard) mergeRumour(rumour membership.Rumour) {
	var entry poison.Entry
	if err := json.Unmarshal(rumour.Payload, &entry); err != nil {
		g.logger.Warn("could not decode crash entry from gossip", "error", err)
		return
	}
	g.registry.Merge([]poison.Entry{entry})
}

// publish sends the entry of the content to all nodes.
func (g *Guard) publish(f poison.Fingerprint) {
	for _, entry := range g.registry.Snapshot() {
		if entry.Fingerprint != f {
			continue
		}
		payload, err := json.Marshal(entry)
		if err != nil {
			return
		}
		key := strconv.FormatUint(uint64(f), 16) + "@" + string(g.members.Self().Node)
		if err := g.gossip.Publish(membership.TopicPoison, key, uint64(time.Now().UnixNano()), payload); err != nil { //nolint:gosec // a time after 1970
			g.logger.Warn("could not publish crash entry to other nodes", "error", err)
		}
	}
}

func fingerprint(spec *request.Spec) poison.Fingerprint {
	return poison.FingerprintOf(spec.Model, spec.Adapter, spec.Service, spec.Input)
}
