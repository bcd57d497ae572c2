package platform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"golang.org/x/time/rate"
)

const (
	// DefaultLoadsPerMinute is the default rate at which the weight store lets loads begin.
	DefaultLoadsPerMinute = 60
	// loadBurst is how many loads may begin at the same time.
	loadBurst = 2
)

// LoadRequest is the body of a request to let a host load a model, version or adapter.
type LoadRequest struct {
	Host    string `json:"host"`
	Model   string `json:"model"`
	Version string `json:"version,omitempty"`
	Adapter string `json:"adapter,omitempty"`
}

// weightStore lets loads begin at a limited rate.
type weightStore struct {
	clock   func() time.Time
	limiter *rate.Limiter
}

// newWeightStore returns a weight store with the rate in options.
func newWeightStore(options Options) *weightStore {
	perMinute := options.LoadsPerMinute
	if perMinute == 0 {
		perMinute = DefaultLoadsPerMinute
	}
	limit := rate.Limit(perMinute / time.Minute.Seconds())
	return &weightStore{clock: options.Clock, limiter: rate.NewLimiter(limit, loadBurst)}
}

// serve lets a load begin, or answers 429 with a Retry-After header.
func (s *weightStore) serve(w http.ResponseWriter, r *http.Request) {
	var request LoadRequest
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.Model == "" {
		writeStatus(w, http.StatusBadRequest, "BadRequest", "a load needs a JSON body with a model")
		return
	}
	now := s.clock()
	reservation := s.limiter.ReserveN(now, 1)
	if delay := reservation.DelayFrom(now); delay > 0 {
		reservation.CancelAt(now)
		w.Header().Set("Retry-After", strconv.Itoa(int(delay.Seconds())+1))
		writeStatus(w, http.StatusTooManyRequests, "TooManyRequests", "loads beyond the store's rate")
		return
	}
	writeJSON(w, http.StatusCreated, request)
}
