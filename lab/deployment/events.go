package deployment

import (
	"sync"
	"time"
)

// EventTimes are the times at which something happened. They may be used from several goroutines.
type EventTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (e *EventTimes) record() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.times = append(e.times, time.Now())
}

// Between counts the events in the half-open span from one time to another.
func (e *EventTimes) Between(from, to time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, t := range e.times {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}
