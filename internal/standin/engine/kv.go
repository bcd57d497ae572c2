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

// serveExport exports the KV cache of a stream. Exports run one at a time; the stream
// continues until its own export begins.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	s, ok := e.findStream(id)
	if !ok {
		writeFailure(w, http.StatusNotFound, engine.CodeUnknown, "no such stream")
		return
	}
	select {
	case e.exportSlot <- struct{}{}:
		defer func() { <-e.exportSlot }()
	case <-r.Context().Done():
		return
	}
	s.cancel()
	s.finish(true)
	prompt := len(strings.Fields(s.completion.Prompt))
	tokens := s.state().tokens
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

// exportTime returns how long the export of a KV cache of the given size takes.
func (e *Engine) exportTime(bytes int64) time.Duration {
	if e.options.ExportBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / e.options.ExportBytesPerSecond * float64(time.Second))
}

// serveImport marks a KV cache as imported, so that the generation continues without recomputation.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var request engine.KVImport
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeFailure(w, http.StatusBadRequest, "bad_request", err.Error())
		return
	}
	if e.failImports.Load() {
		writeFailure(w, http.StatusInternalServerError, "import", "the cache could not be fetched")
		return
	}
	e.mu.Lock()
	e.importedHandles[request.Handle] = true
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}
