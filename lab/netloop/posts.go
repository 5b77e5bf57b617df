package netloop

import (
	"sync"

	"golang.org/x/sys/unix"
)

// closedDescriptor is the number of a descriptor that was closed.
const closedDescriptor = -1

// postQueue holds the calls that other goroutines post, and wakes the loop for them with an eventfd.
type postQueue struct {
	mu    sync.Mutex
	fd    int // closedDescriptor once closed
	calls []func()
}

// post appends a call, and wakes the loop unless it was woken for the calls before.
func (q *postQueue) post(f func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.fd == closedDescriptor {
		return
	}
	q.calls = append(q.calls, f)
	if len(q.calls) == 1 {
		// Fails only where the counter is full, which wakes the loop as well.
		_, _ = unix.Write(q.fd, []byte{1, 0, 0, 0, 0, 0, 0, 0})
	}
}

// ready implements handler.
func (q *postQueue) ready(uint32) {
	for _, call := range q.take() {
		call()
	}
}

// take clears the eventfd's counter and empties the queue in one step, so that the next post wakes the loop again.
func (q *postQueue) take() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	var counter [8]byte
	_, _ = unix.Read(q.fd, counter[:])
	calls := q.calls
	q.calls = nil
	return calls
}

func (q *postQueue) close() error {
	q.mu.Lock()
	defer q.mu.Unlock()
	err := unix.Close(q.fd)
	q.fd = closedDescriptor
	q.calls = nil
	return err
}
