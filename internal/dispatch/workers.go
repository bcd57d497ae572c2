package dispatch

import (
	"sync"
	"time"
)

// workerIdleTime is how long an idle worker waits for work before it exits.
const workerIdleTime = 5 * time.Second

// workerPool runs entries in up to limit goroutines. Each queued entry starts another
// one until there are limit.
type workerPool struct {
	run   func(*entry)
	limit int
	queue chan *entry
	// stopped is closed when the pool is stopped.
	stopped  chan struct{}
	stopOnce sync.Once

	mu    sync.Mutex
	count int
}

func newWorkerPool(limit int, run func(*entry)) *workerPool {
	return &workerPool{run: run, limit: limit, queue: make(chan *entry, limit), stopped: make(chan struct{})}
}

// submit queues e for a worker; it reports false when the queue is full.
func (w *workerPool) submit(e *entry) bool {
	select {
	case w.queue <- e:
	default:
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count < w.limit {
		w.count++
		go w.loop()
	}
	return true
}

// stop makes the workers exit once the queue is empty.
func (w *workerPool) stop() {
	w.stopOnce.Do(func() { close(w.stopped) })
}

// loop runs queued entries until none came for workerIdleTime, or the pool is stopped.
func (w *workerPool) loop() {
	timer := time.NewTimer(workerIdleTime)
	defer timer.Stop()
	for {
		select {
		case e := <-w.queue:
			w.run(e)
			timer.Reset(workerIdleTime)
		case <-w.stopped:
			if w.exitIfIdle() {
				return
			}
		case <-timer.C:
			if w.exitIfIdle() {
				return
			}
			timer.Reset(workerIdleTime)
		}
	}
}

// exitIfIdle removes the worker from the count and reports true, unless entries are queued.
func (w *workerPool) exitIfIdle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.queue) > 0 {
		return false
	}
	w.count--
	return true
}
