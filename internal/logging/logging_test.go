package logging

import (
	"bytes"
	"encoding/json"
	"testing"
)

// stalledWriter blocks until release is closed.
type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// A stalled reader of the log must neither delay the event loop nor prevent the end of the program.
func TestStalledReaderBlocksNothing(t *testing.T) {
	s := stalledWriter{make(chan struct{})}
	defer close(s.release)
	w := NewAsyncWriter(s)
	for range 10_000 {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	w.Close()
}

func TestJSON(t *testing.T) {
	var out bytes.Buffer
	New(&out, JSON).WithField(Connections, 3).Info("statistics")
	var line struct {
		Msg, Level  string
		Connections int
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil || line.Msg != "statistics" ||
		line.Level != "info" || line.Connections != 3 {
		t.Errorf("logged %s: %v, want msg statistics, level info and 3 connections", out.Bytes(), err)
	}
}
