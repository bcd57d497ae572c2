package engine

import (
	"context"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"mangoledge.example/mangoledge/internal/engine"
	"mangoledge.example/mangoledge/internal/routing"
	"mangoledge.example/mangoledge/internal/standin/chain"
	"mangoledge.example/mangoledge/internal/standin/history"
	"mangoledge.example/mangoledge/internal/wait"
)

const (
	// lingerTime is how long a finished stream can still be attached to.
	lingerTime = 30 * time.Second
	// crashExitCode is the exit status of a crash on a poison prompt.
	crashExitCode = 3
	// reclaimExitCode is the exit status of a reclaim.
	reclaimExitCode = 4
)

// Engine is the stand-in.
//
// Lock order: Engine.mu before stream.mu.
type Engine struct {
	options Options
	log     *history.Log
	silent  atomic.Int64 // number of the silence order in force
	slow    atomic.Int64 // milliseconds
	// failExports and failImports are faults in force.
	failExports atomic.Bool
	failImports atomic.Bool
	// exports has room for the one export that is under way.
	exports chan struct{}

	mu         sync.Mutex
	streams    map[string]*stream
	imported   map[string]bool
	cache      *cache
	running    int
	slots      chan struct{}
	started    int
	recomputed int
	leaving    bool
	fencing    uint64
	role       string
	random     *rand.Rand
}

// New returns an engine.
func New(options Options) (*Engine, error) {
	log, err := history.Open(options.HistoryPath, options.ID)
	if err != nil {
		return nil, err
	}
	return &Engine{
		options:  options,
		log:      log,
		streams:  make(map[string]*stream),
		imported: make(map[string]bool),
		slots:    make(chan struct{}, options.Slots),
		exports:  make(chan struct{}, 1),
		cache:    newCache(options.CacheBlocks),
		random:   rand.New(rand.NewPCG(options.Seed, options.Seed)),
	}, nil
}

// start begins a completion; a code of engine.Failure says why not.
func (e *Engine) start(completion engine.Completion) (*stream, string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leaving {
		e.log.Write(history.Entry{Event: history.EventRefused, RequestID: engine.RequestIDOf(completion.RequestID)})
		return nil, engine.CodeLeaving
	}
	if e.running >= e.options.Slots+e.options.Queue {
		return nil, engine.CodeFull
	}
	if old, ok := e.streams[completion.RequestID]; ok {
		old.cancel()
		old.finish(true)
	}
	compute := e.promptTokens(&completion) + len(completion.Prefix)
	recomputed := 0
	if e.imported[string(completion.Generation)] {
		compute = 0
	} else if len(completion.Prefix) > 0 {
		recomputed = compute
	}
	e.running++
	e.started++
	e.recomputed += recomputed
	e.log.Write(history.Entry{Event: history.EventStart, RequestID: engine.RequestIDOf(completion.RequestID), Prefix: len(completion.Prefix), Recomputed: recomputed})
	if e.options.PoisonMarker != "" && strings.Contains(completion.Prompt, e.options.PoisonMarker) {
		e.log.Write(history.Entry{Event: history.EventCrash, RequestID: engine.RequestIDOf(completion.RequestID)})
		os.Exit(crashExitCode)
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := newStream(completion, cancel)
	e.streams[completion.RequestID] = s
	go e.generate(ctx, s, time.Duration(compute)*e.options.PrefillPerToken)
	return s, ""
}

// promptTokens returns how many tokens of a prompt are not cached, and caches them.
func (e *Engine) promptTokens(completion *engine.Completion) int {
	tokens := len(strings.Fields(completion.Prompt))
	blocks := routing.Blocks(nil, completion.Model, completion.Adapter, completion.Prompt)
	if len(blocks) == 0 {
		return tokens
	}
	matched := e.cache.use(blocks)
	return tokens - tokens*matched/len(blocks)
}

// generate makes the tokens of s.
func (e *Engine) generate(ctx context.Context, s *stream, prefill time.Duration) {
	defer e.finish(s)
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-ctx.Done():
		return
	}
	wait.For(ctx, prefill)
	if ctx.Err() != nil {
		return
	}
	next := time.Now()
	for {
		previous, index := s.last()
		if index >= s.completion.MaxTokens {
			s.finish(false)
			e.log.Write(history.Entry{Event: history.EventDone, RequestID: engine.RequestIDOf(s.completion.RequestID)})
			return
		}
		next = next.Add(e.options.TokenInterval + time.Duration(e.slow.Load())*time.Millisecond)
		wait.For(ctx, time.Until(next))
		if ctx.Err() != nil {
			return
		}
		s.add(chain.Token(index, previous, e.draw()))
	}
}

// finish frees the slot of s and forgets it after a while.
func (e *Engine) finish(s *stream) {
	s.finish(true)
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	time.AfterFunc(lingerTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[s.completion.RequestID] == s {
			delete(e.streams, s.completion.RequestID)
		}
	})
}

// Stop ends all streams, as the end of the engine's process does.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.cancel()
	}
}

func (e *Engine) draw() uint32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Uint32()
}

func (e *Engine) find(requestID string) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[requestID]
	return s, ok
}

// leave refuses new work from now on; with a notice above 0 the process ends after it.
func (e *Engine) leave(notice time.Duration) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.log.Write(history.Entry{Event: history.EventLeaving})
	if notice > 0 {
		time.AfterFunc(notice, func() { os.Exit(reclaimExitCode) })
	}
}
