package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/sse"
	"mangoledge.example/mangoledge/internal/standin/ending"
	"mangoledge.example/mangoledge/internal/standin/history"
)

// heartbeatInterval is the time between two heartbeats on a stream.
const heartbeatInterval = 500 * time.Millisecond

// Handler returns the handler of the engine's protocol, fault commands and statistics.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/completions", e.serveCompletion)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveAttach)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("POST /v1/kv/{id}/export", e.serveExport)
	mux.HandleFunc("POST /v1/kv/import", e.serveImport)
	mux.HandleFunc("GET /v1/load", e.serveLoad)
	mux.HandleFunc("GET /v1/cache_events", e.serveCacheEvents)
	mux.HandleFunc("POST /v1/orders", e.serveOrder)
	mux.HandleFunc("POST /faults", e.serveFaults)
	mux.HandleFunc("GET /stats", e.serveStats)
	return mux
}

// serveCompletion starts a completion and streams its tokens.
func (e *Engine) serveCompletion(w http.ResponseWriter, r *http.Request) {
	var completion engine.Completion
	if err := json.NewDecoder(r.Body).Decode(&completion); err != nil {
		writeFailure(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	s, code := e.start(completion)
	switch code {
	case engine.CodeLeaving:
		writeFailure(w, http.StatusServiceUnavailable, code, "this engine is leaving")
		return
	case engine.CodeFull:
		writeFailure(w, http.StatusTooManyRequests, code, "no slot is free")
		return
	}
	e.sendTokens(w, r, s, len(completion.Prefix))
}

// serveAttach streams the tokens of a known stream from an offset on.
func (e *Engine) serveAttach(w http.ResponseWriter, r *http.Request) {
	s, ok := e.findStream(r.PathValue("id"))
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if !ok || err != nil {
		writeFailure(w, http.StatusNotFound, engine.CodeUnknown, "no such stream")
		return
	}
	e.sendTokens(w, r, s, offset)
}

// endingStopPieces is the number of events after which a stream stops that stops early.
const endingStopPieces = 3

// sendTokens streams the tokens of s from offset on. How the stream ends may be drawn.
func (e *Engine) sendTokens(w http.ResponseWriter, r *http.Request, s *stream, offset int) {
	drawn, ok := e.options.Endings.Next(true)
	if !ok {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		e.writeTokens(w, http.NewResponseController(w).Flush, r, s, offset)
		return
	}
	out, err := ending.Respond(w, drawn, "Content-Type: text/event-stream\r\n", -1, endingStopPieces)
	if err != nil {
		writeFailure(w, http.StatusInternalServerError, "internal", err.Error())
		return
	}
	e.writeTokens(out, func() error { return nil }, r, s, offset)
	out.FinishOrExit()
}

// writeTokens writes the tokens of s from offset on until s ends or the client disconnects. After a
// silence fault it writes nothing more and waits for the client to disconnect.
func (e *Engine) writeTokens(w io.Writer, flush func() error, r *http.Request, s *stream, offset int) {
	countAtStart := e.silenceCount.Load()
	_ = flush()
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		state := s.state()
		if e.silenceCount.Load() != countAtStart {
			<-r.Context().Done()
			return
		}
		for ; offset < len(state.tokens); offset++ {
			if sse.Write(w, "", engine.Chunk{Offset: offset, Text: state.tokens[offset]}) != nil {
				return
			}
		}
		if state.done {
			_ = sse.Write(w, "", engine.Chunk{Offset: offset, Done: true, Tokens: len(state.tokens), Exported: state.exported})
			return
		}
		_ = flush()
		select {
		case <-state.changed:
		case <-ticker.C:
			if sse.WriteHeartbeat(w) != nil {
				return
			}
		case <-r.Context().Done():
			return
		}
	}
}

// serveCancel cancels a stream; an unknown one is ignored.
func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	if s, ok := e.findStream(r.PathValue("id")); ok {
		s.cancel()
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveLoad reports the engine's load.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, engine.Load{Running: len(e.slots), Waiting: e.running - len(e.slots), Slots: e.options.Slots, AtMs: time.Now().UnixMilli()})
}

// serveCacheEvents reports the cache events after a sequence number.
func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		writeFailure(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, e.cache.eventsSince(since))
}

// order is the body of POST /v1/orders.
type order struct {
	Order   string `json:"order"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role"`
	Fencing uint64 `json:"fencing"`
}

// serveOrder carries out an order, unless its fencing number is older than one already
// seen and the engine checks fencing numbers.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		writeFailure(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	entry := history.Entry{Event: history.EventOrder, Order: o.Order + " " + o.Model + " " + o.Version, Fencing: o.Fencing}
	if o.Fencing < e.fencing && !e.options.IgnoreFencing {
		entry.Event = history.EventFenced
		e.log.Write(entry)
		writeFailure(w, http.StatusConflict, engine.CodeFenced, "the fencing number is old")
		return
	}
	e.log.Write(entry)
	e.fencing = max(e.fencing, o.Fencing)
	if o.Order == "role" {
		e.role = o.Role
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveFaults puts faults in force.
func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		writeFailure(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if faults.Leave || faults.ReclaimNoticeMs > 0 {
		e.leave(time.Duration(faults.ReclaimNoticeMs) * time.Millisecond)
	}
	if faults.Silent {
		e.silenceCount.Add(1)
	}
	if faults.FailExports {
		e.failExports.Store(true)
	}
	if faults.FailImports {
		e.failImports.Store(true)
	}
	if faults.SlowMs != 0 {
		e.slowMs.Store(max(0, faults.SlowMs))
	}
	w.WriteHeader(http.StatusNoContent)
}

// serveStats reports what the engine has done so far.
func (e *Engine) serveStats(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	writeJSON(w, Stats{Running: e.running, Started: e.started, Recomputed: e.recomputed, Fencing: e.fencing, Role: e.role})
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func writeFailure(w http.ResponseWriter, status int, code, message string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(engine.Failure{Error: engine.FailureDetail{Code: code, Message: message}})
}
