package membership

import "sync"

// notifier calls the callbacks, one at a time and in order, outside all locks.
type notifier struct {
	mu       sync.Mutex
	waiting  []func()
	wake     chan struct{}
	onChange []func(Member)
	topics   map[Topic][]func(Rumour)
}

func newNotifier() *notifier {
	return &notifier{wake: make(chan struct{}, 1), topics: make(map[Topic][]func(Rumour))}
}

func (n *notifier) onMember(f func(Member)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.onChange = append(n.onChange, f)
}

func (n *notifier) onRumour(topic Topic, f func(Rumour)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.topics[topic] = append(n.topics[topic], f)
}

func (n *notifier) member(m Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.onChange {
		n.add(func() { f(m) })
	}
}

func (n *notifier) rumour(r Rumour) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.topics[r.Topic] {
		n.add(func() { f(r) })
	}
}

func (n *notifier) rumourFor(r Rumour, f func(Rumour)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.add(func() { f(r) })
}

// add queues a call; n.mu must be held.
func (n *notifier) add(call func()) {
	n.waiting = append(n.waiting, call)
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

func (n *notifier) run(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-n.wake:
			n.callAll()
		}
	}
}

func (n *notifier) callAll() {
	n.mu.Lock()
	calls := n.waiting
	n.waiting = nil
	n.mu.Unlock()
	for _, call := range calls {
		call()
	}
}
