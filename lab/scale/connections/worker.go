package connections

import (
	"errors"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"spurspread/lab/netloop"
)

// Spans of a loop's clock.
const (
	millisecond netloop.Micros = 1000
	second                     = 1000 * millisecond
)

const (
	// lagInterval is how often a loop of the harness measures how late it runs. The kernel's wait has whole
	// milliseconds, so that a loop with nothing to do is up to 1 ms late.
	lagInterval = 5 * millisecond
	// scratchBytes is the size of a loop's read buffer.
	scratchBytes = 64 << 10
	// conditionInterval is how often await evaluates its condition.
	conditionInterval = 5 * time.Millisecond
)

// millis is a span in milliseconds.
func millis(span netloop.Micros) float64 { return float64(span) / float64(millisecond) }

// worker is one loop of the harness, on a thread of its own.
type worker struct {
	loop      *netloop.Loop
	scratch   []byte // for reads on the loop
	done      chan error
	lagMillis []float64 // how late the loop ran at each lagInterval
}

func newWorker() (*worker, error) {
	loop, err := netloop.New()
	if err != nil {
		return nil, err
	}
	w := &worker{loop: loop, scratch: make([]byte, scratchBytes), done: make(chan error, 1)}
	w.measureLag(loop.Now() + lagInterval)
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the loop
		w.done <- loop.Run()
	}()
	return w, nil
}

// measureLag records at a time how late the loop runs, and goes on at lagInterval.
func (w *worker) measureLag(due netloop.Micros) {
	w.loop.After(due-w.loop.Now(), func() {
		now := w.loop.Now()
		w.lagMillis = append(w.lagMillis, millis(now-due))
		w.measureLag(now + lagInterval)
	})
}

// do calls f on the loop, and returns after it.
func (w *worker) do(f func()) {
	done := make(chan struct{})
	w.loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

// close ends the loop. Its sockets must have been closed.
func (w *worker) close() error {
	w.loop.Post(w.loop.Stop)
	return errors.Join(<-w.done, w.loop.Close())
}

// workers are all loops of one side.
type workers []*worker

// newWorkers starts so many loops. On an error it returns those that were started, which have to be closed.
func newWorkers(count int) (workers, error) {
	var all workers
	for range count {
		w, err := newWorker()
		if err != nil {
			return all, fmt.Errorf("harness loop: %w", err)
		}
		all = append(all, w)
	}
	return all, nil
}

// each calls f on all loops at once, and returns after all calls.
func (ws workers) each(f func(index int, w *worker)) {
	var calls sync.WaitGroup
	for index, w := range ws {
		calls.Go(func() {
			w.do(func() { f(index, w) })
		})
	}
	calls.Wait()
}

// takeLag returns how late the loops ran since the last call, in milliseconds.
func (ws workers) takeLag() []float64 {
	byLoop := make([][]float64, len(ws))
	ws.each(func(index int, w *worker) {
		byLoop[index] = w.lagMillis
		w.lagMillis = nil
	})
	return slices.Concat(byLoop...)
}

func (ws workers) close() {
	for _, w := range ws {
		_ = w.close() // nothing of it is used any more
	}
}

// await waits until a condition holds, at most for the limit, and returns whether it holds.
func await(limit time.Duration, holds func() bool) bool {
	deadline := time.Now().Add(limit)
	for {
		if holds() {
			return true
		}
		if time.Now().After(deadline) {
			return false
		}
		time.Sleep(conditionInterval)
	}
}
