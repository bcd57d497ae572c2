package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"mangoledge.example/mangoledge/internal/callerclient"
)

// seed makes the demo send the same requests in every run.
const seed = 1

// workload holds the kinds of requests and all requests sent.
type workload struct {
	kinds []kind
	all   []*sentRequest
}

// sendRequests sends the requests, spread over sendDuration and in random order, while
// the disruptions take place. It returns when all outcomes are known.
func (d *Demo) sendRequests(ctx context.Context) *workload {
	out := &workload{kinds: kinds()}
	for i := range out.kinds {
		k := &out.kinds[i]
		for n := range k.count {
			out.all = append(out.all, &sentRequest{kind: k, input: fmt.Sprintf("%s number %d, please", k.name, n)})
		}
	}
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // the order of the demo's requests
	random.Shuffle(len(out.all), func(i, j int) { out.all[i], out.all[j] = out.all[j], out.all[i] })
	d.printf("sending %d requests over %s", len(out.all), sendDuration)
	var done sync.WaitGroup
	d.scheduleDisruptions(ctx, &done)
	pause := sendDuration / time.Duration(len(out.all))
	for _, s := range out.all {
		done.Add(1)
		go func() {
			defer done.Done()
			s.result = d.clients[s.kind.workspace].Send(ctx, s.kind.submission(s.input), callerclient.NopObserver{})
		}()
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	done.Wait()
	return out
}
