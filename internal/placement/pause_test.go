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

// updateInterval is the time between two updates in these tests.
const updateInterval = 200 * time.Millisecond

// site is what a router of these tests sees. It never changes by itself, as a
// paused process sees nothing change before it has heard others.
type site struct {
	now       time.Time
	members   []membership.Member
	upstreams []fleet.Upstream
}

func (s *site) Self() membership.Member      { return s.members[0] }
func (s *site) Members() []membership.Member { return s.members }
func (s *site) Upstreams() []fleet.Upstream  { return s.upstreams }
func (s *site) clock() time.Time             { return s.now }
func (*site) Marks() uint64                  { return 0 }
func (*site) Lookup(ident.Incarnation) (membership.Member, bool) {
	return membership.Member{}, false
}

// Call reaches nobody.
func (*site) Call(context.Context, string, string, any, any) error {
	return errors.New("not reached")
}

// newSite is a site with one upstream in the failure domain of its owner, which
// is this node itself or another one.
func newSite(ownedHere bool) (*site, *Router) {
	s := &site{now: time.Unix(1000, 0)}
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

// options are those of a router that calls other nodes by calls.
func (s *site) options(calls peer.Caller) Options {
	return Options{
		Members: s, Fleet: s, Listed: s, Marks: s.Marks, Calls: calls, Now: s.clock,
		Logger: slog.New(slog.DiscardHandler), Policy: routing.LeastOutstanding{},
		MarkLeaving: func(ident.Upstream) {},
	}
}

func (s *site) pick(r *Router) error {
	need := &dispatch.PlacementRequest{Spec: &request.Spec{Model: "m", MaxTokens: 10, Deadline: time.Now().Add(time.Hour)}}
	place, err := r.Pick(context.Background(), need)
	if err == nil {
		place.Release(dispatch.OutcomeDone, 0)
	}
	return err
}

// A process that was paused places nothing by the list that it had before its
// timers have run.
func TestNothingIsPlacedBeforeTheFirstUpdateAfterAPause(t *testing.T) {
	afterPauses(t, func(s *site, r *Router, pause time.Duration) {
		requireRefused(t, s.pick(r), "pause %v", pause)
	})
}

// Nor does it in the first moment after they have, since nothing was heard from
// others until then; when updates have gone on for a while it places again.
func TestNothingIsPlacedRightAfterTheFirstUpdate(t *testing.T) {
	afterPauses(t, func(s *site, r *Router, pause time.Duration) {
		r.Update(s.now)
		requireRefused(t, s.pick(r), "the timer came first, pause %v", pause)
		s.now = s.now.Add(updateInterval)
		r.Update(s.now)
		requireRefused(t, s.pick(r), "a moment later, pause %v", pause)
		for range 10 {
			s.now = s.now.Add(updateInterval)
			r.Update(s.now)
		}
		require.NoError(t, s.pick(r), "awake again, pause %v", pause)
	})
}

// afterPauses calls f with routers that were paused for 2 to 22 s after they
// had placed a request, of upstreams that they own and that others own.
func afterPauses(t *testing.T, f func(s *site, r *Router, pause time.Duration)) {
	t.Helper()
	random := rand.New(rand.NewPCG(1, 2))
	for range 50 {
		for _, ownedHere := range []bool{true, false} {
			s, r := newSite(ownedHere)
			require.NoError(t, s.pick(r))
			pause := 2*time.Second + time.Duration(1+random.Int64N(int64(20*time.Second)))
			s.now = s.now.Add(pause)
			f(s, r, pause)
		}
	}
}

// Updates that come a little late are no pause.
func TestLateUpdatesAreNoPause(t *testing.T) {
	s, r := newSite(true)
	for range 20 {
		s.now = s.now.Add(time.Second)
		require.NoError(t, s.pick(r))
		r.Update(s.now)
		require.NoError(t, s.pick(r))
	}
}

func requireRefused(t *testing.T, err error, format string, args ...any) {
	t.Helper()
	require.Error(t, err, append([]any{format}, args...)...)
	refusal := verdict.From(err)
	require.Equal(t, verdict.NotRun, refusal.Verdict)
	require.Positive(t, refusal.RetryAfter, "it may be asked again")
}

// pausing is a site whose owner grants at once, but whose answer is read only
// after this process was paused for a while.
type pausing struct {
	*site
	pause time.Duration
	// released has an element for each slot that was given back.
	released chan struct{}
}

func (p *pausing) Call(_ context.Context, _, _ string, _, reply any) error {
	switch r := reply.(type) {
	case *owner.ReserveReply:
		*r = owner.ReserveReply{Granted: true, Upstream: "u"}
		p.now = p.now.Add(p.pause)
	case *owner.ReleaseReply:
		p.released <- struct{}{}
	}
	return nil
}

// A grant that is read after a pause is given back: the upstream may have left
// meanwhile.
func TestAGrantThatIsReadAfterAPauseIsNotUsed(t *testing.T) {
	s, _ := newSite(false)
	p := &pausing{site: s, released: make(chan struct{}, 1)}
	r := NewRouter(s.options(p))
	r.Update(s.now)
	require.NoError(t, s.pick(r), "without a pause")
	<-p.released
	p.pause = 5 * time.Second
	requireRefused(t, s.pick(r), "after a pause")
	<-p.released
}
