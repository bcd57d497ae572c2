package bench

import (
	"math/rand/v2"
	"time"

	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/routing"
)

// generateWork draws the jobs of the run. load is the requested fraction of nominal
// capacity.
func (w *world) generateWork(load float64) {
	random := rand.New(rand.NewPCG(w.result.Seed, 2))
	rate := (load + w.scenario.ExtraLoad) * NominalRate(w.shape) / modelFraction(w.shape.kinds)
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= w.shape.Duration {
			break
		}
		w.addJob(drawJob(&w.shape, random, len(w.jobs), at))
	}
	if w.scenario.Has(FaultPoison) {
		w.generatePoison(random)
	}
}

// addJob numbers a job and schedules its arrival.
func (w *world) addJob(j *job) {
	j.number = len(w.jobs)
	w.jobs = append(w.jobs, j)
	w.scheduleArrival(j)
}

// generatePoison adds repeated requests, each as a new job, with the same content that
// crashes every upstream that runs it.
func (w *world) generatePoison(random *rand.Rand) {
	k := w.shape.kinds[1]
	k.worth = 0
	first := drawJobOfKind(&w.shape, random, len(w.jobs), 0, &k, 0)
	for at := w.shape.scale(10 * time.Second); at < w.shape.Duration; at += w.shape.scale(poisonInterval) {
		j := *first
		j.arrivesAt = at
		j.deadline = at + k.deadline
		j.home = random.IntN(w.shape.Nodes)
		j.poison = true
		w.addJob(&j)
	}
}

// modelFraction returns the fraction of all requests that go to a model.
func modelFraction(kinds []kind) float64 {
	sum := 0.0
	for i := range kinds {
		if !kinds[i].service {
			sum += kinds[i].fraction
		}
	}
	return sum
}

// drawJob draws a job of a random kind and workspace that arrives at the given time.
func drawJob(shape *Shape, random *rand.Rand, number int, at time.Duration) *job {
	k := weightedIndex(random, len(shape.kinds), func(i int) float64 { return shape.kinds[i].fraction })
	ws := weightedIndex(random, len(shape.workspaces), func(i int) float64 { return shape.workspaces[i].fraction })
	return drawJobOfKind(shape, random, number, at, &shape.kinds[k], ws)
}

// drawJobOfKind draws a job of the given kind and workspace: its node, its sizes and the
// blocks of its prompt. Low topic numbers are drawn more often than high ones.
func drawJobOfKind(shape *Shape, random *rand.Rand, number int, at time.Duration, k *kind, ws int) *job {
	j := &job{
		kind: k, workspace: ws, arrivesAt: at, deadline: at + k.deadline,
		home: random.IntN(shape.Nodes), outputTokens: k.outputTokens,
		fingerprint: poison.Fingerprint(random.Uint64()),
	}
	f := &j.features
	if k.service {
		f.Service = serviceName
		return j
	}
	f.Model = modelName
	j.outputTokens = int(float64(k.outputTokens) * (0.5 + random.Float64()))
	f.MaxTokens = k.outputTokens * 3 / 2
	own := int(float64(k.uniqueTokens) * (0.5 + random.Float64()))
	f.PromptTokens = k.sharedTokens + own
	topic := min(random.IntN(topicCount), random.IntN(topicCount))
	seed := uint64(ws)<<40 | uint64(topic)<<20 | uint64(len(k.name))<<50 | uint64(k.sharedTokens)
	for i := range k.sharedTokens / blockTokens {
		f.Blocks = append(f.Blocks, blockHash(seed, uint64(i)))
	}
	for i := range own / blockTokens {
		f.Blocks = append(f.Blocks, blockHash(uint64(number)+1<<60, uint64(i)))
	}
	return j
}

// blockHash returns the hash of the ith block of the prefix or prompt called name, from a
// generator that is seeded with both.
func blockHash(name, i uint64) routing.Block {
	return routing.Block(rand.NewPCG(name, i).Uint64())
}

// weightedIndex draws an index below n. The weights sum up to 1.
func weightedIndex(random *rand.Rand, n int, weight func(int) float64) int {
	x := random.Float64()
	for i := range n {
		x -= weight(i)
		if x < 0 {
			return i
		}
	}
	return n - 1
}
