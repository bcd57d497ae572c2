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

// requests are the kinds and what was sent of them.
type requests struct {
	kinds []kind
	all   []*sent
}

// work sends the requests over workTime while hosts come and go, and waits for the outcomes.
func (d *Demo) work(ctx context.Context) *requests {
	out := &requests{kinds: kinds()}
	for i := range out.kinds {
		k := &out.kinds[i]
		for n := range k.count {
			out.all = append(out.all, &sent{kind: k, input: fmt.Sprintf("%s number %d, please", k.name, n)})
		}
	}
	random := rand.New(rand.NewPCG(seed, seed)) //nolint:gosec // the order of the demo's requests
	random.Shuffle(len(out.all), func(i, j int) { out.all[i], out.all[j] = out.all[j], out.all[i] })
	d.say("sending %d requests over %s", len(out.all), workTime)
	var done sync.WaitGroup
	d.disturb(ctx, &done)
	pause := workTime / time.Duration(len(out.all))
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
