package guard

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/standin/members"
)

func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}

// waitTimeout is the longest time that tests wait for an expected event.
const waitTimeout = time.Minute

// site simulates two nodes with immediate gossip.
type site struct {
	members     []membership.Member
	guards      []*Guard
	subscribers []func(membership.Rumour)
	// partitioned is true while the nodes can't call each other.
	partitioned bool
}

func newSite() *site {
	s := &site{}
	for i := range 2 {
		name := fmt.Sprint("n", i)
		s.members = append(s.members, membership.Member{
			Incarnation: ident.Incarnation(name + "_1"), Node: ident.Node(name), PeerAddress: name, State: membership.StateAlive,
		})
	}
	for i := range s.members {
		s.guards = append(s.guards, New(members.NewView(s.members, i), s, s, slog.New(slog.NewTextHandler(io.Discard, nil))))
	}
	return s
}

func (s *site) Publish(topic membership.Topic, key string, version uint64, payload []byte) error {
	for _, hear := range s.subscribers {
		hear(membership.Rumour{Topic: topic, Key: key, Version: version, Payload: payload})
	}
	return nil
}

func (s *site) Subscribe(_ membership.Topic, hear func(membership.Rumour)) {
	s.subscribers = append(s.subscribers, hear)
}

func (s *site) Call(_ context.Context, address, method string, args, reply any) error {
	if s.partitioned {
		return errors.New("cut")
	}
	for i := range s.members {
		if s.members[i].PeerAddress != address {
			continue
		}
		service := s.guards[i].Service()
		if method == poison.MethodAcquire {
			return service.Acquire(args.(*poison.AcquireArgs), reply.(*poison.AcquireReply))
		}
		return service.Release(args.(*poison.ReleaseArgs), reply.(*poison.ReleaseReply))
	}
	return errors.Newf("no node at %s", address)
}

func content() *request.Spec {
	return &request.Spec{Model: "m", Input: "p", Deadline: time.Now().Add(waitTimeout)}
}

func TestRunsOfOneContentShareOneGate(t *testing.T) {
	s := newSite()
	var passes []dispatch.Pass
	for i := range poison.MaxCrashes {
		pass, err := s.guards[i%2].Acquire(t.Context(), content())
		require.NoError(t, err)
		passes = append(passes, pass)
	}
	for _, g := range s.guards {
		_, err := g.Acquire(t.Context(), content())
		require.Error(t, err, "MaxCrashes runs are already in progress")
	}
	for _, pass := range passes {
		pass.Release("e1", dispatch.EndingOther)
	}
	for _, g := range s.guards {
		require.Eventually(t, func() bool {
			pass, err := g.Acquire(t.Context(), content())
			if err != nil {
				return false
			}
			pass.Release("e1", dispatch.EndingOther)
			return true
		}, waitTimeout, time.Millisecond, "a pass was not released")
	}
}

func TestCrashesSeenByOneNodeQuarantineOnAllNodes(t *testing.T) {
	s := newSite()
	for i := range poison.MaxCrashes {
		for _, g := range s.guards {
			require.NoError(t, g.Check(content()))
			require.Equal(t, i > 0, g.Suspect(content()))
		}
		pass, err := s.guards[0].Acquire(t.Context(), content())
		require.NoError(t, err)
		pass.Release(ident.Upstream(fmt.Sprint("e", i)), dispatch.EndingCrashed)
	}
	for _, g := range s.guards {
		require.Error(t, g.Check(content()))
		_, err := g.Acquire(t.Context(), content())
		require.Error(t, err)
	}
	require.True(t, s.guards[1].Clear(poison.FingerprintOf("m", "", "", "p")))
	for _, g := range s.guards {
		require.NoError(t, g.Check(content()))
	}
}

func TestOwnGateIsUsedWhenCoordinatorIsUnreachable(t *testing.T) {
	s := newSite()
	s.partitioned = true
	for _, g := range s.guards {
		for range poison.MaxCrashes {
			_, err := g.Acquire(t.Context(), content())
			require.NoError(t, err)
		}
		_, err := g.Acquire(t.Context(), content())
		require.Error(t, err, "the limit holds on each side of the partition")
	}
}
