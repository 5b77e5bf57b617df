package logging

import (
	"io"
	"time"
)

const (
	// maxQueuedLines bounds what a reader of the log may be behind; further lines are dropped.
	maxQueuedLines = 256
	// flushTimeout is how long Close waits for lines that are queued.
	flushTimeout = 100 * time.Millisecond
)

// AsyncWriter writes lines from a goroutine of its own and drops those that it can't keep up with, so that a stalled
// reader of the log never blocks the event loop. Close ends the goroutine; Write must not be called after it.
type AsyncWriter struct {
	lines chan []byte
	done  chan struct{} // closed when the goroutine has ended
}

// NewAsyncWriter returns an AsyncWriter to out. Errors of out are ignored: there is no place to report them.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(out) // owned by w: Close ends it and waits for it, within flushTimeout
	return w
}

func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		_, _ = out.Write(line)
	}
}

// Write queues a copy of line, or drops it where the queue is full. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
	}
	return len(line), nil
}

// Close has the queued lines written, and waits for that at most 100 ms. A writer that is blocked for longer is left
// behind: the process is about to end.
func (w *AsyncWriter) Close() {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}
