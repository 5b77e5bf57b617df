package deployment

import (
	"sync"
	"time"
)

// EventTimes records the times of events. It may be used from several goroutines.
type EventTimes struct {
	mu    sync.Mutex
	times []time.Time
}

func (e *EventTimes) record() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.times = append(e.times, time.Now())
}

// Between returns the number of events at or after from and before to.
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
