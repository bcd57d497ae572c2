package relay

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"mangoledge.example/mangoledge/internal/membership"
	"mangoledge.example/mangoledge/internal/peer"
	"mangoledge.example/mangoledge/internal/platform/objects"
)

const (
	pullPath = "/relay/pull"
	// maxPullBytes is the maximum size of a pull request, in bytes. A request contains
	// names and versions of objects, but no objects.
	maxPullBytes = 1 << 20
)

// PullRequest requests the objects of which another node holds newer versions.
type PullRequest struct {
	Have []HeldVersion `json:"have"`
}

// PullReply contains the newer objects and the time since they were confirmed as current.
type PullReply struct {
	Objects []objects.Object `json:"objects"`
	// Proven is false when the store never confirmed the sender's versions as current.
	Proven bool `json:"proven"`
	// AgeMs is the time since the store last confirmed them, in milliseconds.
	AgeMs int64 `json:"ageMs"`
}

// dialPeer adapts dialer to http.Transport.DialContext.
func dialPeer(dialer peer.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return dialer.Dial(ctx, address)
	}
}

// servePull handles a pull request of another node.
func (r *Relay) servePull(w http.ResponseWriter, req *http.Request) {
	var request PullRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxPullBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	proof := r.ProvenAt() // read before the objects, so that they are at least as current as the proof
	reply := PullReply{
		Objects: r.table.newerThan(request.Have),
		Proven:  !proof.IsZero(),
		AgeMs:   r.options.Clock().Sub(proof).Milliseconds() + 1,
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	compressor := gzip.NewWriter(w)
	_ = json.NewEncoder(compressor).Encode(reply) // the other node may have closed the connection
	_ = compressor.Close()
}

// pull fetches the objects of which the node at address holds newer versions, and adopts
// its proof.
func (r *Relay) pull(ctx context.Context, address string) error {
	body, err := json.Marshal(PullRequest{Have: r.table.versions()})
	if err != nil {
		return err
	}
	sent := r.options.Clock()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pullPath, bytes.NewReader(body))
	if err != nil {
		return err
	}
	peer.SetToken(req, r.options.Dialer.Token)
	resp, err := r.http.Do(req)
	if err != nil {
		r.http.CloseIdleConnections()
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return errors.Newf("pull from %s: %s", address, resp.Status)
	}
	var reply PullReply
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return err
	}
	for _, object := range reply.Objects {
		r.Put(object)
	}
	if reply.Proven {
		r.recordProof(sent.Add(-time.Duration(reply.AgeMs) * time.Millisecond))
	}
	return nil
}

// tryBeginPull marks a pull as in progress. It returns false if one already is.
func (r *Relay) tryBeginPull() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pulling {
		return false
	}
	r.pulling = true
	return true
}

// endPull ends the pull that tryBeginPull began.
func (r *Relay) endPull() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pulling = false
}

// pullLoop pulls from a random node while this node holds no object, or its proof is
// older than pullProofAge.
func (r *Relay) pullLoop(ctx context.Context) {
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	lastPull := time.Time{}
	for {
		now := r.options.Clock()
		r.tick(now)
		due := r.table.empty() || (now.Sub(r.ProvenAt()) > pullProofAge && now.Sub(lastPull) > hintInterval)
		if due && r.tryBeginPull() {
			lastPull = now
			go func() {
				defer r.endPull()
				r.pullFromRandomNode(ctx)
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pullFromRandomNode pulls from a random usable node, if there is another one.
func (r *Relay) pullFromRandomNode(ctx context.Context) {
	self := r.options.View.Self()
	var others []membership.Member
	for _, m := range r.options.View.Members() {
		if m.Incarnation != self.Incarnation && m.Usable() {
			others = append(others, m)
		}
	}
	if len(others) == 0 {
		return
	}
	chosen := others[rand.IntN(len(others))] //nolint:gosec // spreading, not a secret
	if err := r.pull(ctx, chosen.PeerAddress); err != nil {
		r.options.Logger.Debug("pull failed", "from", chosen.Node, "error", err)
	}
}
