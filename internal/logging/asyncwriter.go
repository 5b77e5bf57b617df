package logging

import (
	"io"
	"time"
)

const (
	// maxQueuedLines is the number of lines that may wait to be written; further lines are dropped.
	maxQueuedLines = 256
	// flushTimeout is the time that Close waits for queued lines to be written.
	flushTimeout = 100 * time.Millisecond
)

// AsyncWriter writes lines from its own goroutine, so that a stalled reader of the log never blocks the event loop. It
// drops lines when its queue is full. Close ends the goroutine; Write must not be called after Close.
type AsyncWriter struct {
	lines chan []byte
	done  chan struct{} // closed when the goroutine has ended
}

// NewAsyncWriter returns an AsyncWriter that writes to out. It ignores errors of out, because they can't be reported
// elsewhere.
func NewAsyncWriter(out io.Writer) *AsyncWriter {
	w := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go w.run(out) // Close ends it and waits for it, for at most flushTimeout
	return w
}

func (w *AsyncWriter) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		_, _ = out.Write(line)
	}
}

// Write queues a copy of line, or drops line if the queue is full. It never blocks and never fails.
func (w *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
	}
	return len(line), nil
}

// Close waits at most 100 ms (flushTimeout) until the queued lines are written. Lines that are still queued then are
// lost, because the process is about to end.
func (w *AsyncWriter) Close() {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(flushTimeout):
	}
}
