// Package barrier suspends goroutines: those that reach a closed Barrier wait until it is opened.
package barrier

import "sync"

// Barrier is open or closed. The zero Barrier is open. Its methods may be called from any goroutine.
type Barrier struct {
	mu   sync.Mutex
	open chan struct{} // a closed channel while the barrier is open; nil if the barrier was never closed
}

// Close closes the barrier: calls of Wait block from now on. It does nothing for a closed barrier.
func (b *Barrier) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open == nil {
		b.open = make(chan struct{})
		return
	}
	select {
	case <-b.open:
		b.open = make(chan struct{})
	default: // already closed
	}
}

// Open opens the barrier, and ends all waits. It does nothing for an open barrier.
func (b *Barrier) Open() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open == nil {
		return
	}
	select {
	case <-b.open: // already open
	default:
		close(b.open)
	}
}

// Wait blocks until the barrier is open; it returns at once if it is.
func (b *Barrier) Wait() {
	b.mu.Lock()
	open := b.open
	b.mu.Unlock()
	if open != nil {
		<-open
	}
}
