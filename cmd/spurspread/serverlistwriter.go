package main

import (
	"net/netip"
	"os"
	"sync"

	"github.com/sirupsen/logrus"

	"spurspread/internal/restartproto"
)

// serverListWriter stores the server lists from discovery in a file, for a process that is started to replace this one.
// It writes on a goroutine of its own, so that the event loop never waits for the disk. Of lists that come faster than
// they are written only the last is.
type serverListWriter struct {
	log      *logrus.Logger
	pending  chan restartproto.ServerList // the next one to write; holds at most one
	done     sync.WaitGroup
	path     string                  // empty until start
	template restartproto.ServerList // what all lists of this process have in common
}

func newServerListWriter(log *logrus.Logger) *serverListWriter {
	return &serverListWriter{log: log, pending: make(chan restartproto.ServerList, 1)}
}

// start begins to write the file for a listen address; a list that was saved before is written now.
func (w *serverListWriter) start(listen netip.AddrPort) {
	w.path = restartproto.ServerListPath(os.TempDir(), listen)
	w.template = restartproto.ServerList{PID: os.Getpid(), Listen: listen.String()}
	w.done.Go(w.run) // owned by w: close ends it and waits for it
}

func (w *serverListWriter) run() {
	logged := false
	for list := range w.pending {
		err := restartproto.WriteServerList(w.path, list)
		if err != nil && !logged {
			w.log.WithError(err).Warn("hot restart: server list can't be stored for a new process")
			logged = true
		}
	}
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

// close writes the pending list, ends the goroutine, waits for it (a write to TMPDIR is short) and removes the
// file, unless another process has replaced it: a process that is started later must not use it.
func (w *serverListWriter) close() {
	close(w.pending)
	w.done.Wait()
	if w.path == "" {
		return
	}
	stored, err := restartproto.ReadServerList(w.path)
	if err == nil && stored.PID == os.Getpid() {
		_ = os.Remove(w.path)
	}
}
