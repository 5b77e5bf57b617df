package main

import (
	"errors"
	"os"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"
	"golang.org/x/sys/unix"

	"spurspread/internal/discovery"
	"spurspread/internal/logging"
	"spurspread/internal/proxy"
	"spurspread/internal/restartproto"
)

// noProcess is no process id.
const noProcess = 0

// setRestartPaths sets the paths by which processes on the same listen address find each other.
func (p *balancerProcess) setRestartPaths() {
	p.announcementPath = restartproto.AnnouncementPath(os.TempDir(), p.listenAddr)
	p.transferSocketPath = restartproto.SocketPath(os.TempDir(), p.listenAddr)
}

// announce lets an older process on the same address know that this one serves. What fails is logged and changes
// nothing else. The socket comes before the announcement, since its readers connect to the socket.
func (p *balancerProcess) announce() {
	if err := p.proxy.AcceptTransfers(p.transferSocketPath); err != nil {
		p.log.WithError(err).Warn("hot restart: can't accept connections from an older process")
	}
	announcement := restartproto.Announcement{
		PID:    os.Getpid(),
		Listen: p.listenAddr.String(),
		Since:  time.Now().UnixMilli(),
	}
	if err := restartproto.WriteAnnouncement(p.announcementPath, announcement); err != nil {
		p.log.WithError(err).Warn("hot restart: can't write the announcement")
	}
	p.log.WithField(logging.Listen, p.listenAddr).Info("started")
}

// withdraw removes the announcement and the socket, unless a successor has replaced them: no other process may take
// this one for its successor.
func (p *balancerProcess) withdraw() {
	announcement, err := restartproto.ReadAnnouncement(p.announcementPath)
	if err == nil && announcement.PID == os.Getpid() {
		_ = os.Remove(p.announcementPath)
		_ = os.Remove(p.transferSocketPath)
	}
}

// successorPID is the process that has been started beside this one to replace it, or noProcess.
func (p *balancerProcess) successorPID() int {
	announcement, err := restartproto.ReadAnnouncement(p.announcementPath)
	if err != nil || !restartproto.IsSuccessor(announcement, os.Getpid(), p.listenAddr, processAlive) {
		return noProcess
	}
	return announcement.PID
}

// processAlive reports whether there is a process with the id, whoever owns it.
func processAlive(pid int) bool {
	err := unix.Kill(pid, 0)
	return err == nil || errors.Is(err, unix.EPERM)
}

// inheritServerList has the process start from the server list of the one that still serves the same address, if that
// is newer than the list in the configuration. A list that can't be used is ignored.
func inheritServerList(cfg *proxy.Config, log *logrus.Logger) {
	stored, err := restartproto.ReadServerList(restartproto.ServerListPath(os.TempDir(), cfg.Listen))
	if err != nil || !restartproto.CanInherit(stored, os.Getpid(), cfg.Listen, cfg.Discovery, processAlive) {
		return
	}
	update, err := discovery.NewServerList().Apply(stored.Snapshot)
	if err != nil || !newerThanConfigured(update, cfg.CachedList) {
		return
	}
	cfg.CachedList = stored.Snapshot
	log.WithField(logging.Count, len(update.Servers)).
		Info("hot restart: server list taken over from the running process")
}

// newerThanConfigured reports whether update has a later generation than the list in the configuration, which has
// generation 0 where there is none.
func newerThanConfigured(update discovery.Update, configured []byte) bool {
	return update.Generation > gjson.GetBytes(configured, "generation").Uint()
}
