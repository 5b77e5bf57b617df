package netloop

import (
	"sync"

	"golang.org/x/sys/unix"
)

// closedDescriptor replaces the number of a closed descriptor.
const closedDescriptor = -1

// postQueue holds the calls that other goroutines post, and wakes the loop for them with an eventfd.
type postQueue struct {
	mu    sync.Mutex
	fd    int // closedDescriptor once closed
	calls []func()
}

// post appends a call, and wakes the loop unless it was already woken for calls in the queue.
func (q *postQueue) post(f func()) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.fd == closedDescriptor {
		return
	}
	q.calls = append(q.calls, f)
	if len(q.calls) == 1 {
		// This fails only if the counter is at its maximum, and then the loop is awake anyway.
		_, _ = unix.Write(q.fd, []byte{1, 0, 0, 0, 0, 0, 0, 0})
	}
}

// ready implements handler.
func (q *postQueue) ready(uint32) {
	for _, call := range q.take() {
		call()
	}
}

// take resets the eventfd and empties the queue under the lock, so that the next post wakes the loop again.
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
