package restartproto

import (
	"errors"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// A FIFO without a writer at the path of a file must not block a process that starts or stops.
func TestFIFODoesNotBlock(t *testing.T) {
	path := filepath.Join(t.TempDir(), "fifo")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 2)
	go func() {
		_, err := ReadServerList(path)
		done <- err
		_, err = ReadAnnouncement(path)
		done <- err
	}()
	for range cap(done) {
		select {
		case err := <-done:
			if !errors.Is(err, ErrNotRegular) {
				t.Errorf("%v, want %v", err, ErrNotRegular)
			}
		case <-time.After(10 * time.Second):
			t.Fatal("blocked for 10 s on a FIFO without a writer")
		}
	}
}
