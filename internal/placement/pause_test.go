package placement

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/owner"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/verdict"
)

// updateInterval is the time between two calls of Update in these tests.
const updateInterval = 200 * time.Millisecond

// fakeEnv is the environment of a router. It changes only when a test changes it,
// because a paused process sees no change until it receives updates from others.
type fakeEnv struct {
	now       time.Time
	members   []membership.Member
	upstreams []fleet.Upstream
}

func (s *fakeEnv) Self() membership.Member      { return s.members[0] }
func (s *fakeEnv) Members() []membership.Member { return s.members }
func (s *fakeEnv) Upstreams() []fleet.Upstream  { return s.upstreams }
func (s *fakeEnv) clock() time.Time             { return s.now }
func (*fakeEnv) LeavingRevision() uint64        { return 0 }
func (*fakeEnv) Lookup(ident.Incarnation) (membership.Member, bool) {
	return membership.Member{}, false
}

// Call always fails.
func (*fakeEnv) Call(context.Context, string, string, any, any) error {
	return errors.New("node unreachable")
}

// newFakeEnv returns an environment with one upstream, which this node or another
// one owns, and the router of this node.
func newFakeEnv(ownedHere bool) (*fakeEnv, *Router) {
	s := &fakeEnv{now: time.Unix(1000, 0)}
	s.members = []membership.Member{
		{Incarnation: "n0_1", Node: "n0", FailureDomain: "d0", State: membership.StateAlive},
		{Incarnation: "n1_1", Node: "n1", FailureDomain: "d1", State: membership.StateAlive},
	}
	domain := ident.FailureDomain("d1")
	if ownedHere {
		domain = "d0"
	}
	s.upstreams = []fleet.Upstream{{
		ID: "u", FailureDomain: domain, Models: []ident.Model{"m"}, Slots: 4, State: fleet.StateReady,
	}}
	r := NewRouter(s.options(s))
	r.Update(s.now)
	return s, r
}

// options returns the options of a router that sends calls to other nodes through
// calls.
func (s *fakeEnv) options(calls peer.Caller) Options {
	return Options{
		Members: s, Fleet: s, UnmarkedFleet: s, LeavingRevision: s.LeavingRevision, Calls: calls, Now: s.clock,
		Logger: slog.New(slog.DiscardHandler), Policy: routing.LeastOutstanding{},
		MarkLeaving: func(ident.Upstream) {},
	}
}

// pick places a request and ends it at once.
func (s *fakeEnv) pick(r *Router) error {
	req := &dispatch.PlacementRequest{Spec: &request.Spec{Model: "m", MaxTokens: 10, Deadline: time.Now().Add(time.Hour)}}
	placement, err := r.Pick(context.Background(), req)
	if err == nil {
		placement.Release(dispatch.OutcomeDone, 0)
	}
	return err
}

// After a pause, a process places no request by its old list of upstreams before its
// timers have run Update.
func TestPickRefusesAfterPauseBeforeFirstUpdate(t *testing.T) {
	forEachPause(t, func(s *fakeEnv, r *Router, pause time.Duration) {
		requireRefused(t, s.pick(r), "pause %v", pause)
	})
}

// The first Update after a pause does not suffice, because updates of other nodes may
// not have arrived by then. Requests are placed again after Update has run regularly
// for a while.
func TestPickRefusesRightAfterFirstUpdateAfterPause(t *testing.T) {
	forEachPause(t, func(s *fakeEnv, r *Router, pause time.Duration) {
		r.Update(s.now)
		requireRefused(t, s.pick(r), "first update after a pause of %v", pause)
		s.now = s.now.Add(updateInterval)
		r.Update(s.now)
		requireRefused(t, s.pick(r), "second update after a pause of %v", pause)
		for range 10 {
			s.now = s.now.Add(updateInterval)
			r.Update(s.now)
		}
		require.NoError(t, s.pick(r), "after regular updates that followed a pause of %v", pause)
	})
}

// forEachPause calls f for routers that were paused for 2 to 22 s after they had
// placed a request, with an upstream that this node owns and one that another owns.
func forEachPause(t *testing.T, f func(s *fakeEnv, r *Router, pause time.Duration)) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		for _, ownedHere := range []bool{true, false} {
			s, r := newFakeEnv(ownedHere)
			require.NoError(t, s.pick(r))
			pause := 2*time.Second + time.Duration(1+random.Int64N(int64(20*time.Second)))
			s.now = s.now.Add(pause)
			f(s, r, pause)
		}
	}
}

// Updates that are 1 s apart do not count as a pause.
func TestLateUpdatesDoNotCountAsPause(t *testing.T) {
	s, r := newFakeEnv(true)
	for range 20 {
		s.now = s.now.Add(time.Second)
		require.NoError(t, s.pick(r))
		r.Update(s.now)
		require.NoError(t, s.pick(r))
	}
}

// requireRefused requires that err says that the request did not run and may be retried.
func requireRefused(t *testing.T, err error, format string, args ...any) {
	t.Helper()
	require.Error(t, err, append([]any{format}, args...)...)
	refusal := verdict.From(err)
	require.Equal(t, verdict.NotRun, refusal.Verdict)
	require.Positive(t, refusal.RetryAfter, "the caller may retry")
}

// pausingEnv is an environment whose owner grants every reservation; this process is
// paused before it reads the reply.
type pausingEnv struct {
	*fakeEnv
	pause time.Duration
	// released receives an element for each released slot.
	released chan struct{}
}

func (p *pausingEnv) Call(_ context.Context, _, _ string, _, reply any) error {
	switch r := reply.(type) {
	case *owner.ReserveReply:
		*r = owner.ReserveReply{Granted: true, Upstream: "u"}
		p.now = p.now.Add(p.pause)
	case *owner.ReleaseReply:
		p.released <- struct{}{}
	}
	return nil
}

// A grant that is read after a pause is released, because the upstream may have left
// in the meantime.
func TestGrantReadAfterPauseIsReleased(t *testing.T) {
	s, _ := newFakeEnv(false)
	p := &pausingEnv{fakeEnv: s, released: make(chan struct{}, 1)}
	r := NewRouter(s.options(p))
	r.Update(s.now)
	require.NoError(t, s.pick(r), "without a pause")
	<-p.released
	p.pause = 5 * time.Second
	requireRefused(t, s.pick(r), "after a pause")
	<-p.released
}
