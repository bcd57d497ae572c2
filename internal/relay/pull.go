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
	// maxPullBytes bounds what a pull asks with; it names objects, and holds none.
	maxPullBytes = 1 << 20
)

// PullRequest asks another node for whatever it holds that is newer.
type PullRequest struct {
	Have []Held `json:"have"`
}

// PullReply holds newer objects and how current they are.
type PullReply struct {
	Objects []objects.Object `json:"objects"`
	// Proven is false when the store never proved them.
	Proven bool `json:"proven"`
	// AgeMs is how long ago the store proved them, in milliseconds.
	AgeMs int64 `json:"ageMs"`
}

// dialPeer lets an http.Transport use the dialer of the nodes.
func dialPeer(dialer peer.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		return dialer.Dial(ctx, address)
	}
}

// servePull answers another node's pull.
func (r *Relay) servePull(w http.ResponseWriter, req *http.Request) {
	var request PullRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxPullBytes)).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	proof := r.Proof() // before the objects are read, so that it is never too young for them
	reply := PullReply{
		Objects: r.table.newerThan(request.Have),
		Proven:  !proof.IsZero(),
		AgeMs:   r.options.Clock().Sub(proof).Milliseconds() + 1,
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Encoding", "gzip")
	compressor := gzip.NewWriter(w)
	_ = json.NewEncoder(compressor).Encode(reply) // the other node may have gone
	_ = compressor.Close()
}

// pull takes over what the node at address holds that is newer.
func (r *Relay) pull(ctx context.Context, address string) error {
	body, err := json.Marshal(PullRequest{Have: r.table.held()})
	if err != nil {
		return err
	}
	asked := r.options.Clock()
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
		r.Offer(object)
	}
	if reply.Proven {
		r.proved(asked.Add(-time.Duration(reply.AgeMs) * time.Millisecond))
	}
	return nil
}

// beginPull reports whether no other pull is in progress, and begins one.
func (r *Relay) beginPull() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pulling {
		return false
	}
	r.pulling = true
	return true
}

func (r *Relay) endPull() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pulling = false
}

// pullLoop pulls from a random node while neither the store nor hints prove anything.
func (r *Relay) pullLoop(ctx context.Context) {
	ticker := time.NewTicker(pullInterval)
	defer ticker.Stop()
	last := time.Time{}
	for {
		now := r.options.Clock()
		r.tick(now)
		wanted := r.table.empty() || (now.Sub(r.Proof()) > pullAge && now.Sub(last) > hintInterval)
		if wanted && r.beginPull() {
			last = now
			go func() {
				defer r.endPull()
				r.pullFromAnyone(ctx)
			}()
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (r *Relay) pullFromAnyone(ctx context.Context) {
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
