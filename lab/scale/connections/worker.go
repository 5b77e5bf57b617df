package connections

import (
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"spurspread/lab/netloop"
)

// Spans of a loop's clock.
const (
	ms  netloop.Micros = 1000
	sec netloop.Micros = 1000 * ms
)

// beat is how often a harness loop looks how late it runs. The kernel's wait has whole milliseconds, so one that has
// nothing to do is up to 1 ms late.
const beat = 5 * ms

// worker is one loop of the harness, on a thread of its own.
type worker struct {
	l       *netloop.Loop
	scratch []byte
	done    chan error
	late    []float64 // of its beats, in ms
}

func newWorker() (*worker, error) {
	l, err := netloop.New()
	if err != nil {
		return nil, err
	}
	w := &worker{l: l, scratch: make([]byte, 64<<10), done: make(chan error, 1)}
	w.beat(l.Now() + beat)
	go func() {
		runtime.LockOSThread() // never unlocked: the thread ends with the loop
		w.done <- l.Run()
	}()
	return w, nil
}

// beat notes how late this call is, and plans the next.
func (w *worker) beat(due netloop.Micros) {
	w.l.After(due-w.l.Now(), func() {
		now := w.l.Now()
		w.late = append(w.late, float64(now-due)/float64(ms))
		w.beat(now + beat)
	})
}

// do carries f out on the loop, and returns when that is done.
func (w *worker) do(f func()) {
	done := make(chan struct{})
	w.l.Post(func() {
		f()
		close(done)
	})
	<-done
}

// close ends the loop; its sockets are closed by their owners before.
func (w *worker) close() error {
	w.l.Post(w.l.Stop)
	err := <-w.done
	if e := w.l.Close(); err == nil {
		err = e
	}
	return err
}

// workers are all loops of one side.
type workers []*worker

func newWorkers(n int) (ws workers, err error) {
	for range n {
		w, err := newWorker()
		if err != nil {
			return ws, fmt.Errorf("harness loop: %w", err)
		}
		ws = append(ws, w)
	}
	return ws, nil
}

// each carries f out on all loops at once, and returns when all are done.
func (ws workers) each(f func(i int, w *worker)) {
	var wg sync.WaitGroup
	for i, w := range ws {
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.do(func() { f(i, w) })
		}()
	}
	wg.Wait()
}

// lateness returns how late their loops' beats were since the last call, in ms.
func (ws workers) lateness() (all []float64) {
	got := make([][]float64, len(ws))
	ws.each(func(i int, w *worker) { got[i], w.late = w.late, nil })
	return slices.Concat(got...)
}

func (ws workers) close() {
	for _, w := range ws {
		_ = w.close() // nothing of it is used any more
	}
}

// await waits until something holds, or the limit has passed; it returns whether it holds.
func await(most time.Duration, holds func() bool) bool {
	for end := time.Now().Add(most); ; time.Sleep(5 * time.Millisecond) {
		if holds() {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}
