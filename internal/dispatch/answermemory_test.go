package dispatch

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/internal/ident"
	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/plainservice"
	"mangoledge.example/mangoledge/internal/request"
)

// longOutput is an answer that takes a whole AnswerMemory of one MB.
var longOutput = strings.Repeat("x", 100<<10)

// newAnswerBench returns a dispatcher that holds a finished request with longOutput, which nobody uses.
func newAnswerBench(t *testing.T) (*Dispatcher, *entry) {
	t.Helper()
	d := &Dispatcher{table: newTable(), options: Options{Answers: ingress.NewAnswerMemory(1, func() {})}}
	id := ident.RequestID{Random: "r"}
	e := newEntry(request.Record{Spec: request.Spec{ID: id}, Generation: "g", Phase: request.PhaseRunning}, nil)
	t.Cleanup(e.cancel)
	d.table.put(e)
	e.setOutput(plainservice.Reply{Text: longOutput, Release: func() {}})
	require.True(t, e.finish(request.PhaseDone, nil))
	e.answer.release = nil
	return d, e
}

// isFree reports whether no memory for answers is reserved.
func isFree(d *Dispatcher) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	release, err := d.options.Answers.Reserve(ctx, int64(len(longOutput)))
	if err == nil {
		release()
	}
	return err == nil
}

func TestLongAnswerIsReservedWhileARequestOfACallerUsesIt(t *testing.T) {
	d, e := newAnswerBench(t)
	require.True(t, isFree(d))
	var scopes []*ingress.Scope
	for range 2 {
		ctx, scope := ingress.WithScope(t.Context())
		found, ok, err := d.find(ctx, e.spec.ID)
		require.NoError(t, err)
		require.True(t, ok)
		require.Same(t, e, found)
		scopes = append(scopes, scope)
	}
	scopes[0].End()
	require.False(t, isFree(d), "the second still uses it")
	scopes[1].End()
	require.True(t, isFree(d))
}

func TestReplyStaysReservedUntilItsWorkerAndFollowersAreDone(t *testing.T) {
	released := false
	e := newEntry(request.Record{Generation: "g", Phase: request.PhaseRunning}, nil)
	t.Cleanup(e.cancel)
	e.useAnswer(nil) // the worker
	ctx, scope := ingress.WithScope(t.Context())
	new(Dispatcher).follow(ctx, e, nil)
	e.setOutput(plainservice.Reply{Text: longOutput, Release: func() { released = true }})
	e.leaveAnswer()
	require.False(t, released)
	scope.End()
	require.True(t, released)
}

func TestLongAnswerThatIsDroppedWhileItWaitsIsNotFound(t *testing.T) {
	d, e := newAnswerBench(t)
	release, err := d.options.Answers.Reserve(t.Context(), int64(len(longOutput)))
	require.NoError(t, err)
	found := make(chan bool)
	go func() {
		ctx, scope := ingress.WithScope(t.Context())
		defer scope.End()
		_, ok, err := d.find(ctx, e.spec.ID)
		found <- ok || err != nil
	}()
	select {
	case <-found:
		t.Error("did not wait for memory")
	case <-time.After(20 * time.Millisecond):
	}
	d.table.drop(e.spec.ID)
	release()
	require.False(t, <-found)
	require.True(t, isFree(d))
}

func TestLongAnswerIsSentToOneCallerAtATimeWhileMemoryIsShort(t *testing.T) {
	d, e := newAnswerBench(t)
	held, err := d.options.Answers.Reserve(t.Context(), int64(len(longOutput)))
	require.NoError(t, err)
	first, scope := ingress.WithScope(t.Context())
	require.NoError(t, e.takeTurn(first, longOutput, d.options.Answers))
	require.NoError(t, e.takeTurn(first, "a short answer needs no turn", d.options.Answers))
	second, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	require.ErrorIs(t, e.takeTurn(second, longOutput, d.options.Answers), context.DeadlineExceeded)
	scope.End()
	require.NoError(t, e.takeTurn(t.Context(), longOutput, d.options.Answers))
	held()
	require.True(t, isFree(d), "the one that gave up holds memory")
}

// A caller that sends a request again, as its connection is gone without a sign, gets the answer while that
// connection still takes its turn.
func TestResendGetsALongAnswerBesideAStalledConnection(t *testing.T) {
	d, e := newAnswerBench(t)
	stalled, stalledScope := ingress.WithScope(t.Context())
	defer stalledScope.End()
	require.NoError(t, e.takeTurn(stalled, longOutput, d.options.Answers))
	ctx, scope := ingress.WithScope(t.Context())
	require.NoError(t, e.takeTurn(ctx, longOutput, d.options.Answers))
	require.False(t, isFree(d))
	scope.End()
	require.True(t, isFree(d))
}

func TestNodeThatDoesNotAnswerHoldsUpLongInputsOnlyForAWhile(t *testing.T) {
	f := newForwarder(peer.Dialer{}, nil)
	_, err := f.startSending(t.Context(), maxSendingBytes)
	require.NoError(t, err)
	_, err = f.startSending(t.Context(), shortInput)
	require.NoError(t, err)
	began := time.Now()
	sent, err := f.startSending(t.Context(), maxSendingBytes)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(began), sendingTimeout/2)
	sent()
	sent() // has no further effect
	require.True(t, f.sending.TryAcquire(maxSendingBytes))
}
