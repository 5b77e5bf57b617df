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

// Units of the clock of a loop.
const (
	millisecond netloop.Micros = 1000
	second                     = 1000 * millisecond
)

const (
	// lagInterval is the interval at which a loop of the harness measures its lag. The kernel's wait has a resolution
	// of a millisecond, so that an idle loop is up to 1 ms late.
	lagInterval = 5 * millisecond
	// scratchBytes is the size of the read buffer of a loop.
	scratchBytes = 64 << 10
	// conditionInterval is the interval at which await evaluates its condition.
	conditionInterval = 5 * time.Millisecond
)

// millis converts a span to milliseconds.
func millis(span netloop.Micros) float64 { return float64(span) / float64(millisecond) }

// worker is one loop of the harness, on a separate thread.
type worker struct {
	loop      *netloop.Loop
	scratch   []byte     // read buffer, used only on the loop
	done      chan error // receives the result of the loop when it has ended
	lagMillis []float64  // lags of the loop, one for each lagInterval
}

// newWorker starts a loop on a new thread.
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

// measureLag sets a timer for the time due, records how late it fires, and sets the next one lagInterval later.
func (w *worker) measureLag(due netloop.Micros) {
	w.loop.After(due-w.loop.Now(), func() {
		now := w.loop.Now()
		w.lagMillis = append(w.lagMillis, millis(now-due))
		w.measureLag(now + lagInterval)
	})
}

// do calls f on the loop, and returns after the call.
func (w *worker) do(f func()) {
	done := make(chan struct{})
	w.loop.Post(func() {
		f()
		close(done)
	})
	<-done
}

// close stops the loop. Its sockets must have been closed before.
func (w *worker) close() error {
	w.loop.Post(w.loop.Stop)
	return errors.Join(<-w.done, w.loop.Close())
}

// workers are all loops of one side, clients or servers.
type workers []*worker

// newWorkers starts a number of loops. On an error it also returns those that were started, which must be closed.
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

// each calls f on all loops concurrently, and returns after all calls.
func (ws workers) each(f func(index int, w *worker)) {
	var calls sync.WaitGroup
	for index, w := range ws {
		calls.Go(func() {
			w.do(func() { f(index, w) })
		})
	}
	calls.Wait()
}

// takeLag returns the lags of the loops since the last call, in milliseconds.
func (ws workers) takeLag() []float64 {
	byLoop := make([][]float64, len(ws))
	ws.each(func(index int, w *worker) {
		byLoop[index] = w.lagMillis
		w.lagMillis = nil
	})
	return slices.Concat(byLoop...)
}

// close stops all loops.
func (ws workers) close() {
	for _, w := range ws {
		_ = w.close() // the loops are not used any more
	}
}

// await waits until a condition holds, but no longer than the limit, and returns whether it holds.
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
