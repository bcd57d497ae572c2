package engine

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/standin/history"
	"mangoledge.example/mangoledge/internal/wait"
)

// serveExport exports the cache of a stream. Exports leave one after the other;
// the stream goes on until its own begins.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s, ok := e.find(id)
	if !ok {
		writeFailure(w, http.StatusNotFound, engine.CodeUnknown, "no such stream")
		return
	}
	select {
	case e.exports <- struct{}{}:
		defer func() { <-e.exports }()
	case <-r.Context().Done():
		return
	}
	s.cancel()
	s.finish(true)
	prompt := len(strings.Fields(s.completion.Prompt))
	tokens := s.view().tokens
	bytes := int64(prompt+len(tokens)) * e.options.KVBytesPerToken
	wait.For(r.Context(), e.exportTime(bytes))
	if r.Context().Err() != nil {
		return
	}
	if e.failExports.Load() {
		panic(http.ErrAbortHandler)
	}
	e.log.Write(history.Entry{Event: history.EventExport, RequestID: engine.RequestIDOf(id)})
	writeJSON(w, engine.KVExport{
		Handle:       string(s.completion.Generation),
		Tokens:       tokens,
		PromptTokens: prompt,
		Bytes:        bytes,
	})
}

// exportTime returns how long a cache of bytes takes to leave.
func (e *Engine) exportTime(bytes int64) time.Duration {
	if e.options.ExportBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / e.options.ExportBytesPerSecond * float64(time.Second))
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var from engine.KVImport
	if err := json.NewDecoder(r.Body).Decode(&from); err != nil {
		writeFailure(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if e.failImports.Load() {
		writeFailure(w, http.StatusInternalServerError, "import", "the cache could not be fetched")
		return
	}
	e.mu.Lock()
	e.imported[from.Handle] = true
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
