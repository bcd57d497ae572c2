package dispatch

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"mangoledge.example/mangoledge/internal/ingress"
	"mangoledge.example/mangoledge/internal/verdict"
)

// forwardedBodyTimeout is how long the body of a forwarded request may take to arrive.
const forwardedBodyTimeout = 10 * time.Second

// receiveSubmission reads a request that another node forwarded, and charges its memory. The caller releases
// it, if there is any, also after a refusal.
func (d *Dispatcher) receiveSubmission(w http.ResponseWriter, r *http.Request) (Submission, *verdict.Error) {
	var sub Submission
	var source io.Reader = r.Body
	if account := d.options.Bodies; account != nil {
		body := account.NewBody(nil, ownerOf(r), time.Now().Add(forwardedBodyTimeout), http.NewResponseController(w).SetReadDeadline)
		sub.Memory = body
		if err := body.Receive(r.Body, r.ContentLength); err != nil {
			w.Header().Set("Connection", "close")
			return sub, verdict.New(verdict.MayHaveRun, verdict.CodeOverloaded, "no memory for the request at its home: %v", err).WithRetryAfter(resendDelay)
		}
		source = body.Reader()
		defer body.DropPieces()
		d.decoding.Lock() // what was received whole is decoded at once
		defer d.decoding.Unlock()
	}
	if err := json.NewDecoder(source).Decode(&sub); err != nil {
		return sub, verdict.BadInput("body", "%v", err)
	}
	return sub, nil
}

// ownerOf returns the node that forwarded a request, as the owner of its memory.
func ownerOf(r *http.Request) ingress.Owner {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	return ingress.Owner{Address: host}
}
