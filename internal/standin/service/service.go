// Package service is a stand-in for a plain service whose calls must not be repeated.
// It runs every call that it receives and records each in its history.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"mangoledge.example/mangoledge/internal/standin/ending"
	"mangoledge.example/mangoledge/internal/standin/history"
)

// reclaimExitCode is the exit status after a reclaim notice has expired.
const reclaimExitCode = 4

// Options configure a Service.
type Options struct {
	// ID names the service in its history.
	ID string
	// Delay is how long a call takes.
	Delay time.Duration
	// ReplyBytes is the least length of a reply, in bytes.
	ReplyBytes int
	// Endings draws how replies end; nil for ordinary ones.
	Endings *ending.Drawer
	// HistoryPath is the file that the history is written to; empty for no history.
	HistoryPath string
}

// Faults is the body of POST /faults; zero fields change nothing.
type Faults struct {
	// SilentBefore makes calls hang before they run; -1 clears the fault.
	SilentBefore int `json:"silentBefore,omitempty"`
	// SilentAfter makes calls hang after they have run; -1 clears the fault.
	SilentAfter int `json:"silentAfter,omitempty"`
	// ReclaimNoticeMs makes the service refuse calls, and ends its process after this many milliseconds.
	ReclaimNoticeMs int64 `json:"reclaimNoticeMs,omitempty"`
}

// Service is the stand-in for a plain service.
type Service struct {
	options      Options
	log          *history.Log
	silentBefore atomic.Bool
	silentAfter  atomic.Bool
	leaving      atomic.Bool
}

// New returns a Service. It fails if its history cannot be opened.
func New(options Options) (*Service, error) {
	log, err := history.Open(options.HistoryPath, options.ID)
	if err != nil {
		return nil, err
	}
	return &Service{options: options, log: log}, nil
}

// Handler returns the handler of calls and fault commands.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /call", s.serveCall)
	mux.HandleFunc("POST /faults", s.serveFaults)
	return mux
}

// serveCall runs a call, as far as the faults in force allow.
func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		s.log.Write(history.Entry{Event: history.EventRefused, RequestID: r.Header.Get("X-Request-Id")})
		http.Error(w, "leaving", http.StatusServiceUnavailable)
		return
	}
	if r.ContentLength >= ending.LongBodyBytes {
		if e, drawn := s.options.Endings.NextEarly(); drawn {
			s.replyWithEnding(w, e, s.options.ID+" did not read the payload")
			return
		}
	}
	payload, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.silentBefore.Load() {
		<-r.Context().Done()
		return
	}
	id := r.Header.Get("X-Request-Id")
	s.log.Write(history.Entry{Event: history.EventStart, RequestID: id})
	time.Sleep(s.options.Delay)
	s.log.Write(history.Entry{Event: history.EventDone, RequestID: id})
	if s.silentAfter.Load() {
		<-r.Context().Done()
		return
	}
	text := s.options.ID + " did " + string(payload)
	s.reply(w, text+strings.Repeat(".", max(0, s.options.ReplyBytes-len(text))))
}

// reply writes a reply, which may end in any way.
func (s *Service) reply(w http.ResponseWriter, text string) {
	e, drawn := s.options.Endings.Next(false)
	if !drawn {
		_, _ = io.WriteString(w, text) // a caller that is gone needs no reply
		return
	}
	s.replyWithEnding(w, e, text)
}

// replyWithEnding writes a reply that ends as e says.
func (s *Service) replyWithEnding(w http.ResponseWriter, e ending.Ending, text string) {
	out, err := ending.Respond(w, e, "Content-Type: text/plain\r\n", len(text), 0)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	_, _ = io.WriteString(out, text)
	out.FinishOrExit()
}

// serveFaults puts faults in force or clears them.
func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if faults.SilentBefore != 0 {
		s.silentBefore.Store(faults.SilentBefore > 0)
	}
	if faults.SilentAfter != 0 {
		s.silentAfter.Store(faults.SilentAfter > 0)
	}
	if faults.ReclaimNoticeMs > 0 {
		s.leaving.Store(true)
		s.log.Write(history.Entry{Event: history.EventLeaving})
		time.AfterFunc(time.Duration(faults.ReclaimNoticeMs)*time.Millisecond, func() { os.Exit(reclaimExitCode) })
	}
	w.WriteHeader(http.StatusNoContent)
}
