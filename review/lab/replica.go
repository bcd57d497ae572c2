//go:build review

package lab

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Run is a request that reached a replica.
type Run struct {
	Attempt  string
	Replica  string
	At       time.Time
	Until    time.Time
	Complete bool
	Rejected bool
}

// Replica is a stand-in of a sound replica. A request's path chooses what it does: .../s/N/PAUSE_MS
// answers with a stream of N events, .../w/MS works for MS and answers with a body.
type Replica struct {
	ID, Service, Zone, Address string
	Born                       time.Time
	log                        *Log
	server                     *http.Server

	mu      sync.Mutex
	leaving bool
	runs    []*Run
}

// NewReplica starts a replica on a free port of ip.
func NewReplica(id, service, zone, ip string, log *Log) (*Replica, error) {
	r := &Replica{ID: id, Service: service, Zone: zone, Born: time.Now(), log: log}
	listener, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	r.Address = listener.Addr().String()
	r.server = &http.Server{Handler: http.HandlerFunc(r.serve)}
	go func() { _ = r.server.Serve(listener) }()
	return r, nil
}

// Close ends the replica.
func (r *Replica) Close() { _ = r.server.Close() }

// Leave makes all answers from now on say that the replica leaves.
func (r *Replica) Leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.leaving = true
}

// Runs returns the requests that reached the replica.
func (r *Replica) Runs() []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Run, 0, len(r.runs))
	for _, run := range r.runs {
		out = append(out, *run)
	}
	return out
}

func (r *Replica) begin(q *http.Request, rejected bool) (run *Run, leaving bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run = &Run{Attempt: q.Header.Get("X-Mangoledge-Attempt-Id"), Replica: r.ID, At: time.Now(), Rejected: rejected}
	r.runs = append(r.runs, run)
	r.log.Printf("replica %s gets %s %s (rejected %t, leaving %t)", r.ID, run.Attempt, q.URL.Path, rejected, r.leaving)
	return run, r.leaving
}

func (r *Replica) end(run *Run, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Until, run.Complete = time.Now(), complete
	if !run.Rejected {
		r.log.Printf("replica %s ends %s, complete: %t", r.ID, run.Attempt, complete)
	}
}

func (r *Replica) serve(w http.ResponseWriter, q *http.Request) {
	expected := q.Header.Get("X-Mangoledge-Expect-Replica")
	rejected := expected != "" && expected != r.ID
	run, leaving := r.begin(q, rejected)
	header := w.Header()
	header.Set("X-Mangoledge-Attempt-Id", run.Attempt)
	if leaving {
		header.Set("Server-Leaving", "1")
	}
	if rejected {
		header.Set("X-Mangoledge-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	header.Set("X-Mangoledge-Server-Signature", "sig-"+r.ID+"-"+run.Attempt)
	var kind string
	var n, pause int
	if _, err := fmt.Sscanf(lastParts(q.URL.Path), "%s %d %d", &kind, &n, &pause); err != nil && kind == "" {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if kind == "s" {
		r.stream(w, q, run, n, time.Duration(pause)*time.Millisecond)
		return
	}
	select {
	case <-time.After(time.Duration(n) * time.Millisecond):
	case <-q.Context().Done():
		r.end(run, false)
		return
	}
	body := "answer to " + run.Attempt
	header.Set("Content-Length", strconv.Itoa(len(body)))
	_, err := w.Write([]byte(body))
	r.end(run, err == nil)
}

func (r *Replica) stream(w http.ResponseWriter, q *http.Request, run *Run, n int, pause time.Duration) {
	w.Header().Set("Content-Type", "text/event-stream")
	flusher := http.NewResponseController(w)
	for i := 1; i <= n; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d of %d\n\n", i, run.Attempt, i, n); err != nil || flusher.Flush() != nil {
			r.end(run, false)
			return
		}
		select {
		case <-time.After(pause):
		case <-q.Context().Done():
			r.end(run, false)
			return
		}
	}
	r.end(run, true)
}

// lastParts returns the parts of a path after its route's prefix, divided by spaces.
func lastParts(path string) string {
	out, slash := "", 0
	for _, c := range path {
		switch {
		case c == '/':
			slash++
			if slash > 2 {
				out += " "
			}
		case slash >= 2:
			out += string(c)
		}
	}
	return out
}
