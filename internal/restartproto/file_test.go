package restartproto

import (
	"errors"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// A path that never answers, as a FIFO without a writer, holds up neither the start nor the end of a process.
func TestFIFOIsNotWaitedFor(t *testing.T) {
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
			t.Fatal("still waiting for a writer of the FIFO")
		}
	}
}
