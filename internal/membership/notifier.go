package membership

import "sync"

// notifier runs callbacks in order, one at a time, without holding any lock.
type notifier struct {
	mu sync.Mutex
	// pending are the queued calls, and wake tells run that there are some.
	pending         []func()
	wake            chan struct{}
	memberCallbacks []func(Member)
	rumourCallbacks map[Topic][]func(Rumour)
}

func newNotifier() *notifier {
	return &notifier{wake: make(chan struct{}, 1), rumourCallbacks: make(map[Topic][]func(Rumour))}
}

func (n *notifier) addMemberCallback(f func(Member)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.memberCallbacks = append(n.memberCallbacks, f)
}

func (n *notifier) addRumourCallback(topic Topic, f func(Rumour)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.rumourCallbacks[topic] = append(n.rumourCallbacks[topic], f)
}

func (n *notifier) queueMember(m Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.memberCallbacks {
		n.enqueue(func() { f(m) })
	}
}

func (n *notifier) queueRumour(r Rumour) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range n.rumourCallbacks[r.Topic] {
		n.enqueue(func() { f(r) })
	}
}

// queueRumourFor queues a call of f alone, for rumours known before f was registered.
func (n *notifier) queueRumourFor(r Rumour, f func(Rumour)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.enqueue(func() { f(r) })
}

// enqueue queues a call and wakes run; n.mu must be held.
func (n *notifier) enqueue(call func()) {
	n.pending = append(n.pending, call)
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
	calls := n.pending
	n.pending = nil
	n.mu.Unlock()
	for _, call := range calls {
		call()
	}
}
