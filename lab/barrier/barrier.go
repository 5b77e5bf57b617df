// Package barrier suspends goroutines: those that pass a shut barrier wait until it is opened.
package barrier

import "sync"

// Barrier is open until it is shut. The zero Barrier is open. It may be used from several goroutines.
type Barrier struct {
	mu   sync.Mutex
	open chan struct{} // closed while the barrier is open; nil if it has never been shut
}

// Close makes Pass wait from now on.
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
	default: // shut already
	}
}

// Open ends all waits.
func (b *Barrier) Open() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open == nil {
		return
	}
	select {
	case <-b.open: // open already
	default:
		close(b.open)
	}
}

// Wait waits while the barrier is shut.
func (b *Barrier) Wait() {
	b.mu.Lock()
	open := b.open
	b.mu.Unlock()
	if open != nil {
		<-open
	}
}
