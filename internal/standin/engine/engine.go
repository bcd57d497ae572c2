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
	// retentionTime is how long clients can still attach to a finished stream.
	retentionTime = 30 * time.Second
	// crashExitCode is the exit status of a crash on a poison prompt.
	crashExitCode = 3
	// reclaimExitCode is the exit status after a reclaim notice has expired.
	reclaimExitCode = 4
)

// Engine is the stand-in for a model engine.
//
// Lock order: Engine.mu before stream.mu.
type Engine struct {
	options Options
	log     *history.Log
	// silenceCount is the number of silence faults so far; each silences the streams that are open at that time.
	silenceCount atomic.Int64
	// slowMs is the extra time before each token in milliseconds.
	slowMs atomic.Int64
	// failExports and failImports are true once the fault of that name is in force; it is never cleared.
	failExports atomic.Bool
	failImports atomic.Bool
	// exportSlot is held by the export in progress, of which there is at most one.
	exportSlot chan struct{}

	mu      sync.Mutex
	streams map[string]*stream
	// importedHandles holds the handles of imported KV caches, which are generations.
	importedHandles map[string]bool
	cache           *prefixCache
	// running is the number of requests that run or wait for a slot.
	running int
	// slots is held by the requests that run.
	slots      chan struct{}
	started    int
	recomputed int
	leaving    bool
	fencing    uint64
	role       string
	random     *rand.Rand
}

// New returns an Engine. It fails if its history cannot be opened.
func New(options Options) (*Engine, error) {
	log, err := history.Open(options.HistoryPath, options.ID)
	if err != nil {
		return nil, err
	}
	return &Engine{
		options:         options,
		log:             log,
		streams:         make(map[string]*stream),
		importedHandles: make(map[string]bool),
		slots:           make(chan struct{}, options.Slots),
		exportSlot:      make(chan struct{}, 1),
		cache:           newPrefixCache(options.CacheBlocks),
		random:          rand.New(rand.NewPCG(options.Seed, options.Seed)),
	}, nil
}

// start starts a completion and cancels an earlier one with the same request ID. If it
// refuses, it returns the code of the engine.Failure to answer with. A prompt with the
// poison marker ends the process.
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
	if previous, ok := e.streams[completion.RequestID]; ok {
		previous.cancel()
		previous.finish(true)
	}
	prefillTokens := e.uncachedTokens(&completion) + len(completion.Prefix)
	recomputed := 0
	if e.importedHandles[string(completion.Generation)] {
		prefillTokens = 0
	} else if len(completion.Prefix) > 0 {
		recomputed = prefillTokens
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
	go e.generate(ctx, s, time.Duration(prefillTokens)*e.options.PrefillPerToken)
	return s, ""
}

// uncachedTokens returns how many tokens of the prompt are not in the prefix cache, and
// adds its blocks to the cache.
func (e *Engine) uncachedTokens(completion *engine.Completion) int {
	tokens := len(strings.Fields(completion.Prompt))
	blocks := routing.Blocks(nil, completion.Model, completion.Adapter, completion.Prompt)
	if len(blocks) == 0 {
		return tokens
	}
	matched := e.cache.matchAndAdd(blocks)
	return tokens - tokens*matched/len(blocks)
}

// generate waits for a slot and generates the tokens of s until it is complete or ctx ends.
func (e *Engine) generate(ctx context.Context, s *stream, prefill time.Duration) {
	defer e.release(s)
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
		previous, index := s.nextPosition()
		if index >= s.completion.MaxTokens {
			s.finish(false)
			e.log.Write(history.Entry{Event: history.EventDone, RequestID: engine.RequestIDOf(s.completion.RequestID)})
			return
		}
		next = next.Add(e.options.TokenInterval + time.Duration(e.slowMs.Load())*time.Millisecond)
		wait.For(ctx, time.Until(next))
		if ctx.Err() != nil {
			return
		}
		s.appendToken(chain.Token(index, previous, e.randomUint32()))
	}
}

// release ends s if it is not complete, stops counting it as running, and removes it
// after retentionTime.
func (e *Engine) release(s *stream) {
	s.finish(true)
	e.mu.Lock()
	e.running--
	e.mu.Unlock()
	time.AfterFunc(retentionTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.streams[s.completion.RequestID] == s {
			delete(e.streams, s.completion.RequestID)
		}
	})
}

// Stop cancels all streams, as the end of the engine's process does.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, s := range e.streams {
		s.cancel()
	}
}

// randomUint32 returns a number from the seeded generator.
func (e *Engine) randomUint32() uint32 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.Uint32()
}

// findStream returns the stream of a request, running or finished recently.
func (e *Engine) findStream(requestID string) (*stream, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[requestID]
	return s, ok
}

// leave makes the engine refuse new requests. With a notice above 0, the process ends
// when the notice has expired.
func (e *Engine) leave(notice time.Duration) {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.log.Write(history.Entry{Event: history.EventLeaving})
	if notice > 0 {
		time.AfterFunc(notice, func() { os.Exit(reclaimExitCode) })
	}
}
