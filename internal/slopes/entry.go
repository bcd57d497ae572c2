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
	// streamCount is how many streams run at once, streamTokens how many tokens each has.
	streamCount  = 200
	streamTokens = 200
	// tokenInterval is the time between two tokens of the stand-in engine.
	tokenInterval = 20 * time.Millisecond
	streamTimeout = 30 * time.Second
	// cacheBlocks is how many prefix blocks the stand-in engine caches.
	cacheBlocks = 4096
)

// These stubs replace a node's admission, poison check, router and journal, which are
// measured separately. They accept everything at once.
type (
	stubAdmission struct{}
	stubTicket    struct{ turn chan struct{} }
	stubGuard     struct{}
	stubPass      struct{}
	stubRouter    struct{ upstream fleet.Upstream }
	stubPlacement struct{ upstream fleet.Upstream }
	stubJournal   struct{}
)

func (stubAdmission) Admit(*request.Spec) (dispatch.Ticket, error) {
	turn := make(chan struct{})
	close(turn)
	return stubTicket{turn: turn}, nil
}

func (t stubTicket) Turn() <-chan struct{}                    { return t.turn }
func (stubTicket) Refusal() *verdict.Error                    { return nil }
func (stubTicket) LatestStart() time.Time                     { return time.Now().Add(time.Hour) }
func (stubTicket) OverdueRefusal() *verdict.Error             { return nil }
func (stubTicket) Placed()                                    {}
func (stubTicket) Release(bool)                               {}
func (stubGuard) Check(*request.Spec) error                   { return nil }
func (stubPass) Release(ident.Upstream, dispatch.Ending)      {}
func (stubJournal) Request(ident.RequestID, string, string)   {}
func (r stubRouter) Leaving(ident.Upstream) bool              { return false }
func (r stubRouter) MarkLeaving(ident.Upstream)               {}
func (p stubPlacement) Upstream() fleet.Upstream              { return p.upstream }
func (stubPlacement) CachedTokens() int                       { return 0 }
func (stubPlacement) Release(dispatch.Outcome, time.Duration) {}
func (stubGuard) Acquire(context.Context, *request.Spec) (dispatch.Pass, error) {
	return stubPass{}, nil
}

func (r stubRouter) Pick(context.Context, *dispatch.PlacementRequest) (dispatch.Placement, error) {
	return stubPlacement(r), nil
}

// newPatientClient returns a client of engines that gives up no stream before streamTimeout. All
// streams begin at once, which takes seconds where processors are short.
func newPatientClient() *engine.Client {
	return engine.NewClientWithTimeouts(engine.Timeouts{Dial: streamTimeout, Response: streamTimeout, Idle: streamTimeout})
}

// streamRun runs streamCount streams at once and measures them.
type streamRun struct {
	tokens atomic.Int64
	// midway is the usage at half time; its memory is the growth since the start.
	midway        usage
	processorTime time.Duration
}

// run calls makeStream for each stream, which has to call token for each token. It returns
// an error if any stream failed.
func (s *streamRun) run(makeStream func(n int, token func()) error) error {
	begin := readUsage(true)
	var group sync.WaitGroup
	failures := make(chan error, streamCount)
	for n := range streamCount {
		group.Go(func() {
			if err := makeStream(n, func() { s.tokens.Add(1) }); err != nil {
				failures <- err
			}
		})
	}
	time.Sleep(streamTokens * tokenInterval / 2)
	s.midway = readUsage(true)
	s.midway.memory -= min(s.midway.memory, begin.memory)
	group.Wait()
	s.processorTime = readUsage(false).processor - begin.processor
	close(failures)
	return <-failures
}

// measureEntry measures what a token and a stream cost on their way through the dispatcher
// and its witness calls: the cost with engine, client and dispatcher, less that of the
// engine and its client alone.
func measureEntry() ([]Figure, error) {
	e, err := standinengine.New(standinengine.Options{ID: "u1", Slots: 4 * streamCount, TokenInterval: tokenInterval, CacheBlocks: cacheBlocks, Seed: 1})
	if err != nil {
		return nil, err
	}
	server := httptest.NewServer(e.Handler())
	defer server.Close()
	defer server.CloseClientConnections()
	alone, through, aloneAgain := new(streamRun), new(streamRun), new(streamRun)
	client := newPatientClient()
	direct := func(n int, token func()) error { return streamFromEngine(client, server.URL, n, token) }
	err = firstError(alone.run(direct), streamThroughDispatcher(server.URL, through), aloneAgain.run(direct))
	if err != nil {
		return nil, err
	}
	alone.processorTime = (alone.processorTime + aloneAgain.processorTime) / 2
	tokens := float64(through.tokens.Load())
	if alone.tokens.Load() != through.tokens.Load() {
		return nil, errors.Newf("%d tokens directly, %d through the dispatcher", alone.tokens.Load(), through.tokens.Load())
	}
	how := fmt.Sprintf("%d streams of %d tokens at once, less the mean of the same read from the engine directly before and after", streamCount, streamTokens)
	perToken := float64((through.processorTime - alone.processorTime).Nanoseconds()) / tokens / nanosPerMicrosecond
	engineAlone := float64(alone.processorTime.Nanoseconds()) / tokens / nanosPerMicrosecond
	return []Figure{
		{Name: "entry.token", Value: perToken, Unit: unitMicroseconds, How: how + "; dispatcher with its witness calls, both ends, without the caller's HTTP"},
		{Name: "entry.token_engine", Value: engineAlone, Unit: unitMicroseconds, How: "the stand-in engine and its client alone"},
		{Name: "entry.stream_memory", Value: memoryGrowth(through.midway, alone.midway) / streamCount, Unit: unitBytes, How: how},
	}, nil
}

// streamFromEngine reads one stream from the engine directly.
func streamFromEngine(client *engine.Client, url string, n int, token func()) error {
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

// streamThroughDispatcher runs the streams through a dispatcher whose witness is another
// node.
func streamThroughDispatcher(url string, s *streamRun) error {
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
	random := rand.New(rand.NewPCG(randomSeed, randomSeed)) //nolint:gosec // not used for security
	d := dispatch.New(dispatch.Options{
		Members: view, Witness: witness.NewClient(peers, view, witness.NewService(self.Incarnation, peers)),
		Router:    stubRouter{upstream: fleet.Upstream{ID: "u1", URL: url, Models: []ident.Model{"model-1"}, State: fleet.StateReady}},
		Admission: stubAdmission{}, Guard: stubGuard{}, Journal: stubJournal{},
		Budget: budget, Retries: retry.NewPolicy(budget, random),
		Engines: newPatientClient(), Services: plainservice.NewClient(nil, nil), Peers: peers, Dialer: dialer,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)), MaxRunning: 2 * streamCount,
	})
	d.Start()
	defer d.Stop()
	return s.run(func(n int, token func()) error { return submitAndFollow(d, specN(self.Incarnation, p.self, n), token) })
}

// submitAndFollow submits a request to the dispatcher and follows its stream to the end.
func submitAndFollow(d *dispatch.Dispatcher, spec *request.Spec, token func()) error {
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
