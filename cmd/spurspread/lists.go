package main

import (
	"net/netip"
	"os"
	"spurspread/internal/discovery"
	"spurspread/internal/logging"
	"spurspread/internal/proxy"
	"spurspread/internal/restartproto"
	"sync"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"
)

// inheritServerList has the process start from what discovery told the one that still serves on the same address, where that
// is newer than the list in the configuration. Nothing depends on it: what can't be used is as if it were not
// there.
func (serve) inheritServerList(cfg *proxy.Config, log *logrus.Logger) {
	l, err := restartproto.ReadServerList(restartproto.ServerListPath(os.TempDir(), cfg.Listen))
	if err != nil || !restartproto.CanInherit(l, os.Getpid(), cfg.Listen, cfg.Discovery, processAlive) {
		return
	}
	told, err := discovery.NewServerList().Apply(l.Snapshot)
	if err != nil || told.Generation <= gjson.GetBytes(cfg.CachedList, "generation").Uint() {
		return
	}
	cfg.CachedList = l.Snapshot
	log.WithField(logging.Count, len(told.Servers)).Info("hot restart: server list taken over from the running process")
}

// serverListWriter writes what discovery told into its file, on a goroutine of its own: the loop never waits for it. Of lists
// that come faster than they are written only the last is.
type serverListWriter struct {
	log      *logrus.Logger
	pending  chan restartproto.ServerList // the one to be written next
	done     sync.WaitGroup
	path     string
	template restartproto.ServerList // what all of them say of this process
}

func newServerListWriter(log *logrus.Logger) *serverListWriter {
	return &serverListWriter{log: log, pending: make(chan restartproto.ServerList, 1)}
}

// start begins to write for the clients' address; what was kept before is written now.
func (w *serverListWriter) start(listen netip.AddrPort) {
	w.path, w.template = restartproto.ServerListPath(
		os.TempDir(),
		listen,
	), restartproto.ServerList{
		PID:    os.Getpid(),
		Listen: listen.String(),
	}
	w.done.Go(func() {
		told := false
		for l := range w.pending {
			if err := restartproto.WriteServerList(w.path, l); err != nil && !told {
				w.log.WithError(err).Warn("hot restart: server list can't be stored for a new process")
				told = true
			}
		}
	})
}

// save is called on the loop only.
func (w *serverListWriter) save(discovery netip.AddrPort, list []byte) {
	l := w.template
	l.Discovery, l.Snapshot = discovery.String(), list
	select {
	case <-w.pending:
	default:
	}
	w.pending <- l // there is room: nobody else puts one in
}

// close writes what is left, and removes the file if it is still this process's: nobody is to start from it later.
func (w *serverListWriter) close() {
	close(w.pending)
	w.done.Wait()
	if w.path == "" {
		return
	}
	if l, err := restartproto.ReadServerList(w.path); err == nil && l.PID == os.Getpid() {
		_ = os.Remove(w.path)
	}
}
