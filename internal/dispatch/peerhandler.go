package dispatch

import (
	"context"
	"encoding/json"
	"net/http"

	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/verdict"
)

// Register registers the handlers and the RPC service that other nodes use.
func (d *Dispatcher) Register(server *peer.Server) error {
	server.Handle("POST "+submitPath, http.HandlerFunc(d.serveSubmit))
	server.Handle("POST "+resumePath, http.HandlerFunc(d.serveResume))
	return server.Register(serviceName, &Service{dispatcher: d})
}

func (d *Dispatcher) serveSubmit(w http.ResponseWriter, r *http.Request) {
	ctx, scope := ingress.WithScope(r.Context())
	defer scope.End()
	sub, refusal := d.receiveSubmission(w, r)
	if sub.Memory != nil {
		defer sub.Memory.Release()
	}
	if refusal != nil {
		writeRefusal(w, refusal)
		return
	}
	attachment, err := d.Submit(ctx, sub)
	d.serveAttachment(ctx, w, attachment, err)
}

func (d *Dispatcher) serveResume(w http.ResponseWriter, r *http.Request) {
	var res Resumption
	if err := json.NewDecoder(r.Body).Decode(&res); err != nil {
		writeRefusal(w, verdict.BadInput("body", "%v", err))
		return
	}
	ctx, scope := ingress.WithScope(r.Context())
	defer scope.End()
	attachment, err := d.Resume(ctx, res)
	d.serveAttachment(ctx, w, attachment, err)
}

// serveAttachment streams the events of attachment to another node, or writes err as a refusal.
func (d *Dispatcher) serveAttachment(ctx context.Context, w http.ResponseWriter, attachment Attachment, err error) {
	if err != nil {
		writeRefusal(w, verdict.From(err))
		return
	}
	defer attachment.Close()
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	_ = controller.Flush()
	_ = attachment.Follow(ctx, func(event Event) error {
		if err := writeEvent(w, event); err != nil {
			return err
		}
		return controller.Flush()
	})
}

func writeRefusal(w http.ResponseWriter, refusal *verdict.Error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	_ = json.NewEncoder(w).Encode(refusal)
}
