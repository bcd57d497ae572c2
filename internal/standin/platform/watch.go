package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/platform/objects"
)

// defaultBookmarkInterval is the time between bookmarks when the client asks for none.
const defaultBookmarkInterval = 10 * time.Second

// watcher is one watch in progress.
type watcher struct {
	server  *Server
	kind    objects.Kind
	since   objects.Version
	encoder *json.Encoder
	control *http.ResponseController
	r       *http.Request
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseUint(r.URL.Query().Get("resourceVersion"), 10, 64)
	if err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", "resourceVersion is no number")
		return
	}
	kind := objects.Kind(r.PathValue("kind"))
	if _, _, _, ok := s.objects.since(kind, objects.Version(since)); !ok {
		writeStatus(w, http.StatusGone, "Expired", "the version was compacted")
		return
	}
	s.counts.waitingWatches(1)
	defer s.counts.waitingWatches(-1)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusOK)
	watch := &watcher{
		server: s, kind: kind, since: objects.Version(since),
		encoder: json.NewEncoder(w), control: http.NewResponseController(w), r: r,
	}
	_ = watch.control.Flush()
	watch.run(bookmarkInterval(r))
}

func bookmarkInterval(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.URL.Query().Get("bookmarkMs"), 10, 64)
	if err != nil || ms <= 0 {
		return defaultBookmarkInterval
	}
	return time.Duration(ms) * time.Millisecond
}

// run sends events and bookmarks until the client goes or a fault strikes.
func (w *watcher) run(interval time.Duration) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		faults := w.server.faults.changes()
		if w.struck() {
			return
		}
		events, now, changed, ok := w.server.objects.since(w.kind, w.since)
		if !ok {
			w.sendError(http.StatusGone, "Expired", "the version was compacted")
			return
		}
		if !w.sendAll(events) {
			return
		}
		w.since = now
		select {
		case <-w.r.Context().Done():
			return
		case <-changed:
		case <-faults:
		case <-ticker.C:
			if w.struck() || !w.send(w.bookmark()) {
				return
			}
		}
	}
}

// struck reports whether a fault ends this watch; a silent one is waited out here.
func (w *watcher) struck() bool {
	faults := w.server.faults
	if _, ok := faults.strike(ServiceObjects, "watch", FaultDropWatch); ok {
		panic(http.ErrAbortHandler)
	}
	if _, ok := faults.strike(ServiceObjects, "watch", FaultOutage); ok {
		panic(http.ErrAbortHandler)
	}
	_, silent := faults.strike(ServiceObjects, "watch", FaultSilentWatch)
	_, hang := faults.strike(ServiceObjects, "watch", FaultHang)
	if silent || hang {
		<-w.r.Context().Done()
		return true
	}
	return false
}

func (w *watcher) bookmark() objects.Event {
	return objects.Event{
		Type:   objects.EventBookmark,
		Object: objects.Object{Kind: w.kind, Metadata: objects.Metadata{ResourceVersion: w.since}},
	}
}

func (w *watcher) sendAll(events []objects.Event) bool {
	for _, event := range events {
		if !w.send(event) {
			return false
		}
	}
	return true
}

func (w *watcher) send(event objects.Event) bool {
	if err := w.encoder.Encode(event); err != nil {
		return false
	}
	return w.control.Flush() == nil
}

func (w *watcher) sendError(code int, reason, message string) {
	spec, _ := json.Marshal(objects.Status{Code: code, Reason: reason, Message: message})
	w.send(objects.Event{Type: objects.EventError, Object: objects.Object{Kind: w.kind, Spec: spec}})
}
