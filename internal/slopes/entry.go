package slopes

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/dispatch"
	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/fleet"
	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/plainservice"
	"mangoledge.example/mangoledge/internal/request"
	"mangoledge.example/mangoledge/internal/retry"
	standinengine "mangoledge.example/mangoledge/internal/standin/engine"
	"mangoledge.example/mangoledge/internal/standin/members"
	"mangoledge.example/mangoledge/internal/verdict"
	"mangoledge.example/mangoledge/internal/witness"
)

const (
	// streamCount is how many streams run at once, streamTokens how long each is.
	streamCount  = 200
	streamTokens = 200
	// tokenInterval is the time between two tokens of the stand-in engine.
	tokenInterval = 20 * time.Millisecond
	streamTimeout = 30 * time.Second
	// cacheBlocks is how many blocks of prefixes the stand-in engine holds.
	cacheBlocks = 4096
)

// openAdmission, openGuard, oneRouter and noJournal stand where a node has its
// own: admission, poison and routing are measured apart.
type (
	openAdmission struct{}
	openTicket    struct{ turn chan struct{} }
	openGuard     struct{}
	openPass      struct{}
	oneRouter     struct{ upstream fleet.Upstream }
	onePlace      struct{ upstream fleet.Upstream }
	noJournal     struct{}
)

func (openAdmission) Admit(*request.Spec) (dispatch.Ticket, error) {
	turn := make(chan struct{})
	close(turn)
	return openTicket{turn: turn}, nil
}

func (t openTicket) Turn() <-chan struct{}                { return t.turn }
func (openTicket) Refusal() *verdict.Error                { return nil }
func (openTicket) LatestStart() time.Time                 { return time.Now().Add(time.Hour) }
func (openTicket) Overdue() *verdict.Error                { return nil }
func (openTicket) Placed()                                {}
func (openTicket) Release(bool)                           {}
func (openGuard) Check(*request.Spec) error               { return nil }
func (openPass) Release(ident.Upstream, dispatch.Ending)  {}
func (noJournal) Request(ident.RequestID, string, string) {}
func (r oneRouter) Leaving(ident.Upstream) bool           { return false }
func (r oneRouter) MarkLeaving(ident.Upstream)            {}
func (p onePlace) Upstream() fleet.Upstream               { return p.upstream }
func (onePlace) CachedTokens() int                        { return 0 }
func (onePlace) Release(dispatch.Outcome, time.Duration)  {}
func (openGuard) Acquire(context.Context, *request.Spec) (dispatch.Pass, error) {
	return openPass{}, nil
}

func (r oneRouter) Pick(context.Context, *dispatch.PlacementRequest) (dispatch.Placement, error) {
	return onePlace(r), nil
}

// streams runs one kind of stream streamCount times at once and measures it.
type streams struct {
	tokens atomic.Int64
	// running is the memory in use in the middle.
	running usage
	cost    time.Duration
}

// run calls one for each stream, which calls token for each token.
func (s *streams) run(one func(n int, token func()) error) error {
	begin := now(true)
	var group sync.WaitGroup
	failures := make(chan error, streamCount)
	for n := range streamCount {
		group.Go(func() {
			if err := one(n, func() { s.tokens.Add(1) }); err != nil {
				failures <- err
			}
		})
	}
	time.Sleep(streamTokens * tokenInterval / 2)
	s.running = now(true)
	s.running.memory -= min(s.running.memory, begin.memory)
	group.Wait()
	s.cost = now(false).processor - begin.processor
	close(failures)
	return <-failures
}

// entries measures a token's and a stream's way through the dispatcher: engine,
// dispatcher and witness, less what the engine and its client cost alone.
func entries() ([]Figure, error) {
	e, err := standinengine.New(standinengine.Options{ID: "u1", Slots: 4 * streamCount, TokenInterval: tokenInterval, CacheBlocks: cacheBlocks, Seed: 1})
	if err != nil {
		return nil, err
	}
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	defer server.CloseClientConnections()
	alone, through, again := new(streams), new(streams), new(streams)
	client := engine.NewClient()
	direct := func(n int, token func()) error { return readEngine(client, server.URL, n, token) }
	err = firstError(alone.run(direct), throughDispatcher(server.URL, through), again.run(direct))
	if err != nil {
		return nil, err
	}
	alone.cost = (alone.cost + again.cost) / 2
	tokens := float64(through.tokens.Load())
	if alone.tokens.Load() != through.tokens.Load() {
		return nil, errors.Newf("%d tokens directly, %d through the dispatcher", alone.tokens.Load(), through.tokens.Load())
	}
	how := fmt.Sprintf("%d streams of %d tokens at once, less the mean of the same read from the engine directly before and after", streamCount, streamTokens)
	perToken := float64((through.cost - alone.cost).Nanoseconds()) / tokens / nanosPerMicrosecond
	whole := float64(alone.cost.Nanoseconds()) / tokens / nanosPerMicrosecond
	return []Figure{
		{Name: "entry.token", Value: perToken, Unit: unitMicroseconds, How: how + "; dispatcher with its witness calls, both ends, without the caller's HTTP"},
		{Name: "entry.token_engine", Value: whole, Unit: unitMicroseconds, How: "the stand-in engine and its client alone"},
		{Name: "entry.stream_memory", Value: signedDifference(through.running, alone.running) / streamCount, Unit: unitBytes, How: how},
	}, nil
}

func readEngine(client *engine.Client, url string, n int, token func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	completion := engine.Completion{RequestID: fmt.Sprintf("alone-%d-%d", n, time.Now().UnixNano()), Model: "model-1", Prompt: "p", Generation: "g", MaxTokens: streamTokens, Stream: true}
	stream, err := client.Start(ctx, url, &completion, false)
	if err != nil {
		return err
	}
	defer stream.Close()
	for {
		chunk, err := stream.Next()
		if err != nil {
			return err
		}
		if chunk.Done {
			return nil
		}
		token()
	}
}

// throughDispatcher runs the streams through a dispatcher whose witness is another node.
func throughDispatcher(url string, s *streams) error {
	p, err := newPeerServer()
	if err != nil {
		return err
	}
	defer p.close()
	self := memberN(0, time.Now(), "127.0.0.1:1")
	other := memberN(1, time.Now(), p.listener.Addr().String())
	other.Incarnation = p.self
	view := members.NewView([]membership.Member{self, other}, 0)
	dialer := peer.Dialer{Token: "slopes"}
	peers := peer.NewClient(dialer)
	defer peers.Close()
	budget := retry.NewBudget(1, streamCount)
	random := rand.New(rand.NewPCG(randomSeed, randomSeed)) //nolint:gosec // a measurement
	d := dispatch.New(dispatch.Options{
		Members: view, Witness: witness.NewClient(peers, view, witness.NewService(self.Incarnation, peers)),
		Router:    oneRouter{upstream: fleet.Upstream{ID: "u1", URL: url, Models: []ident.Model{"model-1"}, State: fleet.StateReady}},
		Admission: openAdmission{}, Guard: openGuard{}, Journal: noJournal{},
		Budget: budget, Retries: retry.NewPolicy(budget, random),
		Engines: engine.NewClient(), Services: plainservice.NewClient(), Peers: peers, Dialer: dialer,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), MaxRunning: 2 * streamCount,
	})
	d.Start()
	defer d.Stop()
	return s.run(func(n int, token func()) error { return submit(d, specN(self.Incarnation, p.self, n), token) })
}

func submit(d *dispatch.Dispatcher, spec *request.Spec, token func()) error {
	ctx, cancel := context.WithTimeout(context.Background(), streamTimeout)
	defer cancel()
	spec.MaxTokens = streamTokens
	spec.Stream = true
	attachment, err := d.Submit(ctx, dispatch.Submission{Spec: *spec})
	if err != nil {
		return err
	}
	return attachment.Follow(ctx, func(e dispatch.Event) error {
		if e.Kind == dispatch.EventToken {
			token()
		}
		if e.Kind == dispatch.EventError {
			return e.Failure
		}
		return nil
	})
}
