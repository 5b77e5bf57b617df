package logging

import (
	"io"
	"time"
)

// AsyncWriter writes the log from a goroutine of its own and drops what it can't keep up with: a reader that stalls must
// never stall the loop.
type AsyncWriter struct {
	lines chan []byte
	done  chan struct{}
}

// NewAsyncWriter returns an output that writes to to.
func NewAsyncWriter(to io.Writer) *AsyncWriter {
	o := &AsyncWriter{lines: make(chan []byte, 256), done: make(chan struct{})}
	go func() {
		defer close(o.done)
		for l := range o.lines {
			_, _ = to.Write(l) // there is nowhere to tell that the log can't be written
		}
	}()
	return o
}

// Write takes a line, or drops it. It never fails.
func (o *AsyncWriter) Write(b []byte) (int, error) {
	select {
	case o.lines <- append([]byte(nil), b...):
	default:
	}
	return len(b), nil
}

// Close writes what is left, for as long as a stop may take.
func (o *AsyncWriter) Close() {
	close(o.lines)
	select {
	case <-o.done:
	case <-time.After(100 * time.Millisecond):
	}
}
