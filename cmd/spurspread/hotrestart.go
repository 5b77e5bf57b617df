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

// noPID stands for the absence of a process; no process has this ID.
const noPID = 0

// setRestartPaths derives from the listen address the paths by which processes that serve it find each other.
func (p *balancerProcess) setRestartPaths() {
	p.announcementPath = restartproto.AnnouncementPath(os.TempDir(), p.listenAddr)
	p.transferSocketPath = restartproto.SocketPath(os.TempDir(), p.listenAddr)
}

// announce tells an older process on the same address that this one serves. Failures are logged only: the process
// serves all the same. The socket is opened before the announcement is written, because processes that read the
// announcement connect to the socket.
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

// withdraw removes the announcement and the socket, so that no other process takes this one for its successor. Those of
// a successor stay.
func (p *balancerProcess) withdraw() {
	announcement, err := restartproto.ReadAnnouncement(p.announcementPath)
	if err == nil && announcement.PID == os.Getpid() {
		_ = os.Remove(p.announcementPath)
		_ = os.Remove(p.transferSocketPath)
	}
}

// successorPID returns the ID of the process that has been started to replace this one, or noPID if there is none.
func (p *balancerProcess) successorPID() int {
	announcement, err := restartproto.ReadAnnouncement(p.announcementPath)
	if err != nil || !restartproto.IsSuccessor(announcement, os.Getpid(), p.listenAddr, processAlive) {
		return noPID
	}
	return announcement.PID
}

// processAlive reports whether a process with this ID exists, of any user.
func processAlive(pid int) bool {
	err := unix.Kill(pid, 0)
	return err == nil || errors.Is(err, unix.EPERM)
}

// inheritServerList replaces the server list in the configuration with the one that the process still serving the same
// address has stored, if that is newer. A stored list that can't be used is ignored.
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

// newerThanConfigured reports whether update has a higher generation than the list in the configuration; an absent list
// counts as generation 0.
func newerThanConfigured(update discovery.Update, configured []byte) bool {
	return update.Generation > gjson.GetBytes(configured, "generation").Uint()
}
