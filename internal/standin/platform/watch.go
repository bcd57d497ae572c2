package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

// defaultBookmarkInterval is the time between bookmarks if the client sets none.
const defaultBookmarkInterval = 10 * time.Second

// watcher is one open watch.
type watcher struct {
	server  *Server
	kind    objects.Kind
	since   objects.Version
	encoder *json.Encoder
	control *http.ResponseController
	request *http.Request
}

// serveWatch answers a watch from a version on.
func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", "resourceVersion is no number")
		return
	}
	kind := objects.Kind(r.PathValue("kind"))
	if _, _, _, ok := s.objects.eventsSince(kind, objects.Version(since)); !ok {
		writeStatus(w, http.StatusGone, "Expired", "the version was compacted")
		return
	}
	s.counts.addWaitingWatches(1)
	defer s.counts.addWaitingWatches(-1)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	watch := &watcher{
		server: s, kind: kind, since: objects.Version(since),
		encoder: json.NewEncoder(w), control: http.NewResponseController(w), request: r,
	}
	_ = watch.control.Flush()
	watch.run(bookmarkInterval(r))
}

// bookmarkInterval returns the time between bookmarks that r asks for.
func bookmarkInterval(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.URL.Query().Get("bookmarkMs"), 10, 64)
	if err != nil || ms <= 0 {
		return defaultBookmarkInterval
	}
	return time.Duration(ms) * time.Millisecond
}

// run sends events and bookmarks until the client disconnects, a fault ends the watch or
// events that it has not sent are compacted.
func (w *watcher) run(interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		faults := w.server.faults.changes()
		if w.endedByFault() {
			return
		}
		events, latest, changed, ok := w.server.objects.eventsSince(w.kind, w.since)
		if !ok {
			w.sendError(http.StatusGone, "Expired", "the version was compacted")
			return
		}
		if !w.sendAll(events) {
			return
		}
		w.since = latest
		select {
		case <-w.request.Context().Done():
			return
		case <-changed:
		case <-faults:
		case <-ticker.C:
			if w.endedByFault() || !w.send(w.bookmark()) {
				return
			}
		}
	}
}

// endedByFault aborts the connection, with a panic, if there is a fault that does so. If
// there is a fault that silences the watch, it waits until the client disconnects and
// reports true.
func (w *watcher) endedByFault() bool {
	faults := w.server.faults
	if _, ok := faults.take(ServiceObjects, "watch", FaultDropWatch); ok {
		panic(http.ErrAbortHandler)
	}
	if _, ok := faults.take(ServiceObjects, "watch", FaultOutage); ok {
		panic(http.ErrAbortHandler)
	}
	_, silent := faults.take(ServiceObjects, "watch", FaultSilentWatch)
	_, hang := faults.take(ServiceObjects, "watch", FaultHang)
	if silent || hang {
		<-w.request.Context().Done()
		return true
	}
	return false
}

// bookmark returns an event that tells the client only the current version.
func (w *watcher) bookmark() objects.Event {
	return objects.Event{
		Type:   objects.EventBookmark,
		Object: objects.Object{Kind: w.kind, Metadata: objects.Metadata{ResourceVersion: w.since}},
	}
}

// sendAll sends events; it reports false if the client has disconnected.
func (w *watcher) sendAll(events []objects.Event) bool {
	for _, event := range events {
		if !w.send(event) {
			return false
		}
	}
	return true
}

// send sends one event; it reports false if the client has disconnected.
func (w *watcher) send(event objects.Event) bool {
	if err := w.encoder.Encode(event); err != nil {
		return false
	}
	return w.control.Flush() == nil
}

// sendError sends an error event, after which the watch ends.
func (w *watcher) sendError(code int, reason, message string) {
	spec, _ := json.Marshal(objects.Status{Code: code, Reason: reason, Message: message})
	w.send(objects.Event{Type: objects.EventError, Object: objects.Object{Kind: w.kind, Spec: spec}})
}
