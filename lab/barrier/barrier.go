// Package barrier holds up goroutines, all at once, for as long as a caller wants.
package barrier

import "sync"

// Barrier is open until it is shut. The zero Gate is open.
type Barrier struct {
	mu   sync.Mutex
	open chan struct{} // closed while the gate is open; nil as long as it was never shut
}

// Shut holds up whoever passes from now on.
func (g *Barrier) Shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == nil {
		g.open = make(chan struct{})
		return
	}
	select {
	case <-g.open:
		g.open = make(chan struct{})
	default: // shut already
	}
}

// Open lets all pass.
func (g *Barrier) Open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open == nil {
		return
	}
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

// Pass waits while the gate is shut.
func (g *Barrier) Pass() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	if open != nil {
		<-open
	}
}
