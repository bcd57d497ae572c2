package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"mangoledge.example/mangoledge/internal/wait"
)

// noticePollInterval is the interval at which a call that waits for notices checks for new ones.
const noticePollInterval = 20 * time.Millisecond

// startRequest is the body of a request to start one host.
type startRequest struct {
	ClientToken   string `json:"clientToken"`
	FailureDomain string `json:"failureDomain"`
	HostClass     string `json:"hostClass"`
	Market        Market `json:"market"`
}

// addressRequest is the body of a request to set the addresses of a failure domain.
type addressRequest struct {
	FailureDomain string   `json:"failureDomain"`
	Addresses     []string `json:"addresses"`
}

// reclaimRequest is the body of a request for reclaim notices; an empty field matches any host.
type reclaimRequest struct {
	Host          string `json:"host"`
	FailureDomain string `json:"failureDomain"`
	HostClass     string `json:"hostClass"`
	NoticeMs      int64  `json:"noticeMs"`
}

// cloudRoutes registers the cloud API and the commands that control the cloud.
func (s *Server) cloudRoutes() {
	s.mux.HandleFunc("POST /cloud/v1/hosts", s.withFaults(ServiceCloud, "start", s.serveStart))
	s.mux.HandleFunc("GET /cloud/v1/hosts", s.withFaults(ServiceCloud, "list", s.serveHosts))
	s.mux.HandleFunc("DELETE /cloud/v1/hosts/{id}", s.withFaults(ServiceCloud, "terminate", s.serveTerminate))
	s.mux.HandleFunc("GET /cloud/v1/offers", s.withFaults(ServiceCloud, "offers", s.serveOffers))
	s.mux.HandleFunc("GET /cloud/v1/notices", s.withFaults(ServiceCloud, "notices", s.serveNotices))
	s.mux.HandleFunc("GET /cloud/v1/bill", s.withFaults(ServiceCloud, "bill", s.serveBill))
	s.mux.HandleFunc("PUT /control/offers", s.serveSetOffers)
	s.mux.HandleFunc("PUT /control/addresses", s.serveSetAddresses)
	s.mux.HandleFunc("POST /control/reclaim", s.serveReclaim)
}

// serveStart answers a request to start a host.
func (s *Server) serveStart(w http.ResponseWriter, r *http.Request) {
	var request startRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.ClientToken == "" {
		writeStatus(w, http.StatusBadRequest, "BadRequest", "a start needs a JSON body with a client token")
		return
	}
	refused := s.refusesStart(request)
	host, code, reason := s.cloud.startIdempotent(request, refused)
	if reason != "" {
		writeStatus(w, code, reason, reason)
		return
	}
	writeJSON(w, code, host)
}

// refusesStart reports whether a fault makes the cloud refuse request.
func (s *Server) refusesStart(request startRequest) bool {
	_, refused := s.faults.takeMatching(ServiceCloud, "start", FaultRefuseStarts, func(f Fault) bool {
		return (f.FailureDomain == "" || f.FailureDomain == request.FailureDomain) &&
			(f.HostClass == "" || f.HostClass == request.HostClass) &&
			(f.Market == "" || f.Market == request.Market)
	})
	return refused
}

// startIdempotent starts a host, or returns the one that was started with the same
// client token. If it refuses, reason is not empty; code is the HTTP status.
func (c *cloud) startIdempotent(request startRequest, refused bool) (host Host, code int, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.terminateExpired(c.clock().UnixMilli())
	if known := c.hostByClientToken(request.ClientToken); known != nil {
		if known.FailureDomain != request.FailureDomain || known.HostClass != request.HostClass || known.Market != request.Market {
			return Host{}, http.StatusBadRequest, "IdempotentParameterMismatch"
		}
		return *known, http.StatusOK, ""
	}
	offer, ok := c.findOffer(request.FailureDomain, request.HostClass, request.Market)
	if !ok {
		return Host{}, http.StatusBadRequest, "NoSuchOffer"
	}
	if refused || c.countRunning(offer) >= offer.Available {
		return Host{}, http.StatusConflict, "InsufficientCapacity"
	}
	return *c.startHost(request, offer), http.StatusCreated, ""
}

// serveHosts lists all hosts ever started.
func (s *Server) serveHosts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.cloud.snapshot())
}

// serveTerminate terminates a host; for a terminated one it has no effect.
func (s *Server) serveTerminate(w http.ResponseWriter, r *http.Request) {
	c := s.cloud
	c.mu.Lock()
	var found *Host
	for _, h := range c.hosts {
		if h.ID == r.PathValue("id") {
			found = h
		}
	}
	var out Host
	if found != nil {
		if found.State != HostTerminated {
			c.terminate(found, c.clock().UnixMilli())
		}
		out = *found
	}
	c.mu.Unlock()
	if found == nil {
		writeStatus(w, http.StatusNotFound, "NotFound", "no such host")
		return
	}
	writeJSON(w, http.StatusOK, out)
}

// serveOffers lists the offers without Available, which clients do not see.
func (s *Server) serveOffers(w http.ResponseWriter, _ *http.Request) {
	s.cloud.mu.Lock()
	out := append([]Offer{}, s.cloud.offers...)
	s.cloud.mu.Unlock()
	for i := range out {
		out[i].Available = 0
	}
	writeJSON(w, http.StatusOK, out)
}

// serveNotices answers with the notices after a sequence number, waiting up to waitMs for the first.
func (s *Server) serveNotices(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	waitMs, _ := strconv.ParseInt(r.URL.Query().Get("waitMs"), 10, 64)
	deadline := time.Now().Add(time.Duration(waitMs) * time.Millisecond)
	for {
		out := s.cloud.noticesAfter(after)
		if len(out) > 0 || time.Now().After(deadline) || r.Context().Err() != nil {
			writeJSON(w, http.StatusOK, out)
			return
		}
		wait.For(r.Context(), noticePollInterval)
	}
}

// noticesAfter returns the notices after a sequence number.
func (c *cloud) noticesAfter(sequence uint64) []Notice {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sequence >= uint64(len(c.notices)) {
		return []Notice{}
	}
	return append([]Notice{}, c.notices[sequence:]...)
}

// serveBill answers with the cost of each host so far.
func (s *Server) serveBill(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.Bill())
}

// serveSetOffers replaces the cloud's offers.
func (s *Server) serveSetOffers(w http.ResponseWriter, r *http.Request) {
	var offers []Offer
	if err := json.NewDecoder(r.Body).Decode(&offers); err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	s.SetOffers(offers)
	w.WriteHeader(http.StatusNoContent)
}

// serveSetAddresses sets the addresses of a failure domain.
func (s *Server) serveSetAddresses(w http.ResponseWriter, r *http.Request) {
	var request addressRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	s.SetAddresses(request.FailureDomain, request.Addresses)
	w.WriteHeader(http.StatusNoContent)
}

// serveReclaim gives reclaim notices and answers with their number.
func (s *Server) serveReclaim(w http.ResponseWriter, r *http.Request) {
	var request reclaimRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		writeStatus(w, http.StatusBadRequest, "BadRequest", err.Error())
		return
	}
	notice := time.Duration(request.NoticeMs) * time.Millisecond
	n := s.Reclaim(request.Host, request.FailureDomain, request.HostClass, notice)
	writeJSON(w, http.StatusOK, ReclaimResponse{Hosts: n})
}

// ReclaimResponse is the response to a request for reclaim notices.
type ReclaimResponse struct {
	// Hosts is the number of hosts that got a notice.
	Hosts int `json:"hosts"`
}
