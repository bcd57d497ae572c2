package dispatch

import (
	"sync"
	"time"
)

// workerIdleTime is how long a worker without work stays.
const workerIdleTime = 5 * time.Second

// workers is a pool that grows with the work up to a limit.
type workers struct {
	run   func(*entry)
	limit int
	queue chan *entry
	// stopped is closed when no further work comes.
	stopped  chan struct{}
	stopOnce sync.Once

	mu    sync.Mutex
	count int
}

func newWorkers(limit int, run func(*entry)) *workers {
	return &workers{run: run, limit: limit, queue: make(chan *entry, limit), stopped: make(chan struct{})}
}

// submit hands e to a worker; it reports false when the queue is full.
func (w *workers) submit(e *entry) bool {
	select {
	case w.queue <- e:
	default:
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count < w.limit {
		w.count++
		go w.work()
	}
	return true
}

// stop ends every worker once it has run what is queued.
func (w *workers) stop() {
	w.stopOnce.Do(func() { close(w.stopped) })
}

// work runs entries until there has been none for a while, or the pool is stopped.
func (w *workers) work() {
	timer := time.NewTimer(workerIdleTime)
	defer timer.Stop()
	for {
		select {
		case e := <-w.queue:
			w.run(e)
			timer.Reset(workerIdleTime)
		case <-w.stopped:
			if w.leave() {
				return
			}
		case <-timer.C:
			if w.leave() {
				return
			}
			timer.Reset(workerIdleTime)
		}
	}
}

// leave takes the worker out of the count unless work has just come in.
func (w *workers) leave() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) > 0 {
		return false
	}
	w.count--
	return true
}
