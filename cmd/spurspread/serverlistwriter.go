package main

import (
	"net/netip"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"spurspread/internal/restartproto"
)

// serverListWriter stores the server lists from discovery in a file, for a process that is started to replace this one.
// It writes on a goroutine of its own, so that the event loop never waits for the disk. Of lists that come faster than
// they are written only the last is.
type serverListWriter struct {
	log      *logrus.Logger
	write    func(path string, list restartproto.ServerList) error
	pending  chan restartproto.ServerList // the next one to write; holds at most one
	done     chan struct{}                // closed when the goroutine has ended
	path     string                       // empty until start
	template restartproto.ServerList      // what all lists of this process have in common
}

// writerEndTimeout is for how long close waits for the last write. The process has its time to end from the platform,
// and a disk that doesn't answer must not use it up.
const writerEndTimeout = 300 * time.Millisecond

func newServerListWriter(log *logrus.Logger) *serverListWriter {
	return &serverListWriter{
		log:     log,
		write:   restartproto.WriteServerList,
		pending: make(chan restartproto.ServerList, 1),
		done:    make(chan struct{}),
	}
}

// start begins to write the file for a listen address; a list that was saved before is written now.
func (w *serverListWriter) start(listen netip.AddrPort) {
	w.path = restartproto.ServerListPath(os.TempDir(), listen)
	w.template = restartproto.ServerList{PID: os.Getpid(), Listen: listen.String()}
	go w.run() // owned by w: close ends it and waits for it, if the disk lets it
}

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

// save has a list written that the discovery at the given address published. It never blocks. Only the event loop's
// goroutine may call it: nobody else may put a list in behind the one that is taken out.
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

// close has the pending list written and the file removed, and waits for both, at most writerEndTimeout. A write that
// takes longer is abandoned with its goroutine, which ends with the process.
func (w *serverListWriter) close() {
	close(w.pending)
	if w.path == "" {
		return
	}
	select {
	case <-w.done:
	case <-time.After(writerEndTimeout):
		w.log.Warn("hot restart: server list still being stored at the end, left as it is")
	}
}

// removeFile removes the file, unless another process has replaced it: a process that is started later must not use it.
func (w *serverListWriter) removeFile() {
	stored, err := restartproto.ReadServerList(w.path)
	if err == nil && stored.PID == os.Getpid() {
		_ = os.Remove(w.path)
	}
}
