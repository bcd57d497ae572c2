package bench

import (
	"math/rand/v2"
	"time"

	"mangoledge.example/mangoledge/internal/poison"
	"mangoledge.example/mangoledge/internal/routing"
)

// makeWork draws the jobs of the run; load is the part of nominal capacity that is asked for.
func (w *world) makeWork(load float64) {
	random := rand.New(rand.NewPCG(w.result.Seed, 2))
	rate := (load + w.scenario.Extra) * Nominal(w.shape) / modelPart(w.shape.kinds)
	at := time.Duration(0)
	for {
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= w.shape.Length {
			break
		}
		w.addJob(drawJob(&w.shape, random, len(w.jobs), at))
	}
	if w.scenario.Has(FaultPoison) {
		w.makePoison(random)
	}
}

func (w *world) addJob(j *job) {
	j.number = len(w.jobs)
	w.jobs = append(w.jobs, j)
	w.arriveAt(j)
}

// makePoison adds the resends of a content that crashes its upstreams, each under a new ID.
func (w *world) makePoison(random *rand.Rand) {
	k := w.shape.kinds[1]
	k.worth = 0
	first := drawJobOf(&w.shape, random, len(w.jobs), 0, &k, 0)
	for at := w.shape.scale(10 * time.Second); at < w.shape.Length; at += w.shape.scale(poisonEvery) {
		j := *first
		j.arrive = at
		j.deadline = at + k.deadline
		j.home = random.IntN(w.shape.Nodes)
		j.poison = true
		w.addJob(&j)
	}
}

// modelPart returns which part of all requests is model work.
func modelPart(kinds []kind) float64 {
	sum := 0.0
	for i := range kinds {
		if !kinds[i].service {
			sum += kinds[i].part
		}
	}
	return sum
}

func drawJob(shape *Shape, random *rand.Rand, number int, at time.Duration) *job {
	k := pick(random, len(shape.kinds), func(i int) float64 { return shape.kinds[i].part })
	ws := pick(random, len(shape.workspaces), func(i int) float64 { return shape.workspaces[i].part })
	return drawJobOf(shape, random, number, at, &shape.kinds[k], ws)
}

func drawJobOf(shape *Shape, random *rand.Rand, number int, at time.Duration, k *kind, ws int) *job {
	j := &job{
		kind: k, workspace: ws, arrive: at, deadline: at + k.deadline,
		home: random.IntN(shape.Nodes), output: k.output,
		print: poison.Fingerprint(random.Uint64()),
	}
	f := &j.features
	if k.service {
		f.Service = serviceName
		return j
	}
	f.Model = modelName
	j.output = int(float64(k.output) * (0.5 + random.Float64()))
	f.MaxTokens = k.output * 3 / 2
	own := int(float64(k.own) * (0.5 + random.Float64()))
	f.PromptTokens = k.shared + own
	topic := min(random.IntN(topics), random.IntN(topics))
	seed := uint64(ws)<<40 | uint64(topic)<<20 | uint64(len(k.name))<<50 | uint64(k.shared)
	for i := range k.shared / blockTokens {
		f.Blocks = append(f.Blocks, blockOf(seed, uint64(i)))
	}
	for i := range own / blockTokens {
		f.Blocks = append(f.Blocks, blockOf(uint64(number)+1<<60, uint64(i)))
	}
	return j
}

// blockOf makes the hash of a block by a generator that is seeded with its name.
func blockOf(name, i uint64) routing.Block {
	return routing.Block(rand.NewPCG(name, i).Uint64())
}

// pick draws an index with the given weights, which sum up to 1.
func pick(random *rand.Rand, n int, weight func(int) float64) int {
	x := random.Float64()
	for i := range n {
		x -= weight(i)
		if x < 0 {
			return i
		}
	}
	return n - 1
}
