package logging

import (
	"bytes"
	"encoding/json"
	"testing"
)

type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// A log that nobody reads must not hold up the loop, nor the end of the program.
func TestStalledLogBlocksNothing(t *testing.T) {
	s := stalledWriter{make(chan struct{})}
	defer close(s.release)
	o := NewAsyncWriter(s)
	for range 10_000 {
		if _, err := o.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	o.Close()
}

func TestJSON(t *testing.T) {
	var out bytes.Buffer
	New(&out, JSON).WithField(Connections, 3).Info("so far")
	var line struct {
		Msg, Level string
		Standing   int
	}
	if err := json.Unmarshal(out.Bytes(), &line); err != nil || line.Msg != "so far" || line.Standing != 3 {
		t.Errorf("%s: %v", out.Bytes(), err)
	}
}
