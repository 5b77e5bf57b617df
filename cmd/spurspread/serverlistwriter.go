package main

import (
	"net/netip"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"spurspread/internal/restartproto"
)

// serverListWriter stores the server lists from discovery in a file, for a process that is started to replace this one.
// It writes on a separate goroutine, so that the event loop never waits for the disk. A list that arrives while
// another is being written replaces the one that waits.
type serverListWriter struct {
	log      *logrus.Logger
	write    func(path string, list restartproto.ServerList) error
	pending  chan restartproto.ServerList // the next list to write; buffers at most one
	done     chan struct{}                // closed when the goroutine has ended
	path     string                       // empty before start
	template restartproto.ServerList      // the fields that all lists of this process share
}

// writerEndTimeout bounds how long close waits for the last write. The platform limits the time for shutdown, which a
// disk that doesn't respond must not use up.
const writerEndTimeout = 300 * time.Millisecond

func newServerListWriter(log *logrus.Logger) *serverListWriter {
	return &serverListWriter{
		log:     log,
		write:   restartproto.WriteServerList,
		pending: make(chan restartproto.ServerList, 1),
		done:    make(chan struct{}),
	}
}

// start starts to write the file for a listen address. A list that was saved before is written now.
func (w *serverListWriter) start(listen netip.AddrPort) {
	w.path = restartproto.ServerListPath(os.TempDir(), listen)
	w.template = restartproto.ServerList{PID: os.Getpid(), Listen: listen.String()}
	go w.run() // owned by w: close stops it and waits for it, but not for a blocked write
}

// run writes lists until close, then removes the file. Only the first failure is logged.
func (w *serverListWriter) run() {
	defer close(w.done)
	logged := false
	for list := range w.pending {
		err := w.write(w.path, list)
		if err != nil && !logged {
			w.log.WithError(err).Warn("hot restart: server list can't be stored for a new process")
			logged = true
		}
	}
	w.removeFile()
}

// save queues a list that the discovery at this address has published, in place of one that waits. It never blocks.
// Only the event loop's goroutine may call it: a second caller could fill the queue between the two steps of the first,
// which would then block.
func (w *serverListWriter) save(discovery netip.AddrPort, snapshot []byte) {
	list := w.template
	list.Discovery = discovery.String()
	list.Snapshot = snapshot
	select {
	case <-w.pending:
	default:
	}
	w.pending <- list
}

// close lets the goroutine write the pending list and remove the file, and waits for that at most writerEndTimeout. A
// goroutine that takes longer is left to end with the process.
func (w *serverListWriter) close() {
	close(w.pending)
	if w.path == "" {
		return
	}
	select {
	case <-w.done:
	case <-time.After(writerEndTimeout):
		w.log.Warn("hot restart: storing the server list timed out, its file may be left behind")
	}
}

// removeFile removes the file, so that no process that is started later uses it; a file of another process stays.
func (w *serverListWriter) removeFile() {
	stored, err := restartproto.ReadServerList(w.path)
	if err == nil && stored.PID == os.Getpid() {
		_ = os.Remove(w.path)
	}
}
