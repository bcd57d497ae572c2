package server_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mangoledge.example/mangoledge/platform/platformtest"
)

const (
	// leaverReportInterval and leaverDrainTime are those of the nodes' settings.
	leaverReportInterval = 400 * time.Millisecond
	leaverDrainTime      = 2 * time.Second
	// leaverDeadline is how long clients of a replica that leaves wait.
	leaverDeadline = 8 * time.Second
)

// leaver is a replica that leaves while it writes an answer with neither a length nor chunks.
type leaver struct {
	*platformtest.RawReplica
	store *platformtest.Store
	entry map[string]any
}

// report writes the replica's entry.
func (l *leaver) report() {
	l.entry["seq"] = l.entry["seq"].(int) + 1
	l.store.Put("servers", l.ID, l.entry)
}

// reportFor goes on reporting for the given time.
func (l *leaver) reportFor(d time.Duration) {
	for end := time.Now().Add(d); ; {
		l.report()
		left := time.Until(end)
		if left <= leaverReportInterval {
			time.Sleep(left)
			return
		}
		time.Sleep(leaverReportInterval)
	}
}

func (l *leaver) drain() { l.entry["state"] = "draining" }

// crash ends the process, whose entry lapses after three report intervals.
func (l *leaver) crash() {
	l.End()
	time.AfterFunc(3*leaverReportInterval, l.removeEntry)
}

func (l *leaver) removeEntry() { l.store.Remove("servers", l.ID) }

// exit ends the process as planned.
func (l *leaver) exit() {
	l.End()
	time.AfterFunc(30*time.Millisecond, l.removeEntry)
}

// leavingAnswer is an answer whose replica leaves before it has written the rest of it.
type leavingAnswer struct {
	service, path, header string
	begin, rest           string
	// leave is called when the beginning is written, and end after the rest.
	leave, end func(l *leaver)
	// pause is how long the client waits before it reads.
	pause time.Duration
}

// get returns what a client gets, and how its connection ended.
func (a *leavingAnswer) get(t *testing.T) (string, error) {
	t.Helper()
	l := &leaver{}
	started := make(chan struct{})
	s := newTestSite(t)
	l.store = s.store
	l.RawReplica = platformtest.NewRawReplica(t, "i-1", func(conn net.Conn, attempt string) {
		<-started
		_, _ = io.WriteString(conn, platformtest.SignedHeader("200 OK", attempt)+a.header+"\r\n"+a.begin)
		a.leave(l)
		_, _ = io.WriteString(conn, a.rest)
		a.end(l)
		_ = conn.Close()
	})
	l.entry = l.Entry(a.service)
	s.putConfig(1, func(c map[string]any) {
		for _, route := range c["routes"].([]any) {
			route.(map[string]any)["timeout_ms"] = leaverDeadline.Milliseconds()
		}
	})
	l.report()
	n := s.startNode(1, "a", nil)
	require.Eventually(t, func() bool { return s.stateOf(n).Upstreams[a.service] == 1 && s.stateOf(n).QuotaBegun }, waitTimeout, 20*time.Millisecond)
	close(started)
	return rawGetAfter(t, s, n, a.path, closeLine, leaverDeadline, a.pause)
}

var leavingAnswers = map[string]leavingAnswer{
	"stream":       {service: "engine", path: "/stream/x", begin: oneEvent, rest: strings.ReplaceAll(oneEvent, "1", "2")},
	"short answer": {service: "plain", path: "/once/x", begin: "first half, ", rest: "second half"},
	"long answer":  {service: "plain", path: "/once/x", begin: strings.Repeat("x", 90_000), rest: "the end"},
}

// TestUnframedAnswerOfALeavingReplicaThatCrashedDoesNotLookComplete guards against answers that were cut off
// by a crash and reach the client like whole ones, since their replica was known to leave.
func TestUnframedAnswerOfALeavingReplicaThatCrashedDoesNotLookComplete(t *testing.T) {
	const late = leaverDrainTime + 300*time.Millisecond
	soon := 300 * time.Millisecond
	for name, c := range map[string]struct {
		header string
		leave  func(l *leaver)
	}{
		"drains":                            {leave: func(l *leaver) { l.drain(); l.reportFor(soon) }},
		"drains, after the drain time":      {leave: func(l *leaver) { l.drain(); l.reportFor(late) }},
		"says so in its answer":             {header: "Server-Leaving: 1\r\n", leave: func(l *leaver) { l.reportFor(soon) }},
		"removes its entry":                 {leave: func(l *leaver) { l.removeEntry(); time.Sleep(soon) }},
		"has no entry after the drain time": {header: "Server-Leaving: 1\r\n", leave: func(l *leaver) { l.removeEntry(); time.Sleep(late) }},
		"drains, then has no entry":         {leave: func(l *leaver) { l.drain(); l.reportFor(late); l.removeEntry(); time.Sleep(late) }},
		"drains for a set time":             {leave: func(l *leaver) { l.drain(); l.entry["leaves_ms"] = 4000; l.reportFor(late) }},
		"drains, and its entry lapses": {leave: func(l *leaver) {
			l.drain()
			l.reportFor(late)
			time.Sleep(2*leaverReportInterval + soon)
			time.AfterFunc(soon, l.removeEntry)
		}},
	} {
		for kind, answer := range leavingAnswers {
			if kind != "stream" && name != "drains" && name != "drains, after the drain time" {
				continue // the answers differ in how they are forwarded, not in how their ends are judged
			}
			t.Run(kind+", "+name, func(t *testing.T) {
				answer.header, answer.leave, answer.end = c.header, func(l *leaver) { c.leave(l); l.crash() }, func(*leaver) {}
				got, err := answer.get(t)
				require.False(t, err == nil && strings.HasPrefix(got, "HTTP/1.1 200"), "looks complete: %.200s", got)
				if kind != "short answer" { // which is not forwarded before its end
					require.Contains(t, got, answer.begin)
				}
			})
		}
	}
}

// TestUnframedAnswerOfAReplicaThatLeftAsPlannedIsDelivered guards against whole answers that are broken off
// because their replica exited right after them.
func TestUnframedAnswerOfAReplicaThatLeftAsPlannedIsDelivered(t *testing.T) {
	drain := func(l *leaver) { l.drain(); l.reportFor(leaverDrainTime + 100*time.Millisecond) }
	exitLater := func(l *leaver) { time.AfterFunc(400*time.Millisecond, l.End) }
	for name, c := range map[string]struct {
		header     string
		leave, end func(l *leaver)
	}{
		"right after its report ended":      {leave: drain, end: (*leaver).exit},
		"announced, right after its report": {header: "Server-Leaving: 1\r\n", leave: drain, end: (*leaver).exit},
		"some time later, without a report": {leave: (*leaver).removeEntry, end: exitLater},
	} {
		for kind, answer := range leavingAnswers {
			t.Run(kind+", "+name, func(t *testing.T) {
				answer.header, answer.leave, answer.end = c.header, c.leave, c.end
				got, err := answer.get(t)
				require.NoError(t, err)
				_, body, _ := strings.Cut(got, "\r\n\r\n")
				require.Equal(t, answer.begin+answer.rest, body)
			})
		}
	}
}

// newLongBody returns a body that does not fit into the buffers between a replica and a client. It is not kept:
// other tests measure how the heap grows.
func newLongBody() string { return strings.Repeat("0123456789abcdef", 12<<16) }

// readPause is how long a client of a long answer waits before it reads.
const readPause = leaverDrainTime + time.Second

// TestUnframedAnswerReadAfterItsReplicaWasReplacedDoesNotLookComplete guards against a later process at the
// address of a crashed replica that is taken for the one that wrote the answer.
func TestUnframedAnswerReadAfterItsReplicaWasReplacedDoesNotLookComplete(t *testing.T) {
	longBody := newLongBody()
	crashAndReplace := func(l *leaver) {
		l.report()
		time.AfterFunc(300*time.Millisecond, func() {
			l.End()
			time.Sleep(leaverDrainTime) // an address is used again after some time
			listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp4", l.Address())
			if err == nil {
				t.Cleanup(func() { _ = listener.Close() })
			}
		})
	}
	answer := leavingAnswer{service: "plain", path: "/once/x", rest: longBody, leave: crashAndReplace, end: func(*leaver) {}, pause: readPause}
	got, err := answer.get(t)
	require.Less(t, len(got), len(longBody), "the replica crashed before it had written all")
	require.Error(t, err, "looks complete, with %d bytes", len(got))
}

// TestUnframedAnswerReadSlowlyIsDelivered guards against whole answers that are broken off because their client
// reads slowly.
func TestUnframedAnswerReadSlowlyIsDelivered(t *testing.T) {
	longBody := newLongBody()
	ctx, stop := context.WithCancel(t.Context())
	var reporting sync.WaitGroup
	answer := leavingAnswer{service: "plain", path: "/once/x", rest: longBody, pause: readPause, end: func(*leaver) {}, leave: func(l *leaver) {
		reporting.Go(func() {
			for ctx.Err() == nil {
				l.reportFor(leaverReportInterval)
			}
		})
	}}
	got, err := answer.get(t)
	stop()
	reporting.Wait()
	require.NoError(t, err)
	require.True(t, strings.HasSuffix(got, longBody), "%d bytes", len(got))
}
