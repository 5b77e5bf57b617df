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

// inherit has the process start from what discovery told the one that still serves on the same address, where that
// is newer than the list in the configuration. Nothing depends on it: what can't be used is as if it were not
// there.
func (serve) inherit(cfg *proxy.Config, log *logrus.Logger) {
	l, err := restartproto.ReadList(restartproto.ListPath(os.TempDir(), cfg.Listen))
	if err != nil || !restartproto.Inherits(l, os.Getpid(), cfg.Listen, cfg.Discovery, alive) {
		return
	}
	told, err := discovery.NewTable().Apply(l.List)
	if err != nil || told.Generation <= gjson.GetBytes(cfg.Known, "generation").Uint() {
		return
	}
	cfg.Known = l.List
	log.WithField(logging.Count, len(told.Targets)).Info("takes over what discovery told the process before this one")
}

// lists writes what discovery told into its file, on a goroutine of its own: the loop never waits for it. Of lists
// that come faster than they are written only the last is.
type lists struct {
	log  *logrus.Logger
	last chan restartproto.List // the one to be written next
	done sync.WaitGroup
	path string
	own  restartproto.List // what all of them say of this process
}

func newLists(log *logrus.Logger) *lists {
	return &lists{log: log, last: make(chan restartproto.List, 1)}
}

// start begins to write for the clients' address; what was kept before is written now.
func (w *lists) start(listen netip.AddrPort) {
	w.path, w.own = restartproto.ListPath(
		os.TempDir(),
		listen,
	), restartproto.List{
		PID:    os.Getpid(),
		Listen: listen.String(),
	}
	w.done.Go(func() {
		told := false
		for l := range w.last {
			if err := restartproto.WriteList(w.path, l); err != nil && !told {
				w.log.WithError(err).Warn("what discovery tells is not kept for a new version")
				told = true
			}
		}
	})
}

// keep is called on the loop only.
func (w *lists) keep(discovery netip.AddrPort, list []byte) {
	l := w.own
	l.Discovery, l.List = discovery.String(), list
	select {
	case <-w.last:
	default:
	}
	w.last <- l // there is room: nobody else puts one in
}

// close writes what is left, and removes the file if it is still this process's: nobody is to start from it later.
func (w *lists) close() {
	close(w.last)
	w.done.Wait()
	if w.path == "" {
		return
	}
	if l, err := restartproto.ReadList(w.path); err == nil && l.PID == os.Getpid() {
		_ = os.Remove(w.path)
	}
}
