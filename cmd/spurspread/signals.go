package main

import (
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"spurspread/internal/logging"
)

// signalHandler handles signals on a goroutine of its own, and reloads on another one: reading files would block the
// event loop, and a file system that does not answer must not keep the process from being told to stop.
type signalHandler struct {
	reloadDue chan struct{} // holds one: further SIGHUPs that come during a reload are answered by one more
	stopping  chan struct{} // closed by stop
	done      chan struct{} // closed when both goroutines have ended
}

// startSignalHandler handles signals for p until stop.
func startSignalHandler(p *balancerProcess, signals <-chan os.Signal) *signalHandler {
	h := &signalHandler{
		reloadDue: make(chan struct{}, 1),
		stopping:  make(chan struct{}),
		done:      make(chan struct{}),
	}
	var running sync.WaitGroup
	running.Go(func() { h.handleSignals(p, signals) }) // owned by h, as is the next: stop ends them and waits for them
	running.Go(func() { h.handleReloads(p) })
	go func() {
		running.Wait()
		close(h.done)
	}()
	return h
}

// handleSignals takes signals until stop. A SIGHUP is a reload; any other one stops the process.
func (h *signalHandler) handleSignals(p *balancerProcess, signals <-chan os.Signal) {
	for {
		select {
		case sig := <-signals:
			if sig != unix.SIGHUP {
				p.stop()
				continue
			}
			select {
			case h.reloadDue <- struct{}{}:
			default:
			}
		case <-h.stopping:
			return
		}
	}
}

// handleReloads reloads whenever that is due, one after another, until stop.
func (h *signalHandler) handleReloads(p *balancerProcess) {
	for {
		select {
		case <-h.reloadDue:
			p.reload()
		case <-h.stopping:
			return
		}
	}
}

// stop ends the goroutines and waits for them, at most stopTimeout.
func (h *signalHandler) stop() {
	close(h.stopping)
	waitWithTimeout(h.done, stopTimeout)
}

// waitWithTimeout waits until done is closed, but not longer than limit.
func waitWithTimeout(done <-chan struct{}, limit time.Duration) {
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// stop stops the process: by a hot restart where another process serves the same address already, else by draining.
func (p *balancerProcess) stop() {
	if pid := p.successorPID(); pid != noProcess {
		p.loop.Post(func() { p.proxy.HotRestart(p.transferSocketPath, pid) })
		return
	}
	p.loop.Post(func() {
		p.member.leave()
		p.proxy.Drain()
	})
}

// reload reads all files again. Where one of them can't be used, nothing changes.
func (p *balancerProcess) reload() {
	cfg, err := p.command.load(p.getenv)
	if err != nil {
		p.log.WithField(logging.File, p.command.Config).Error("reload rejected, nothing changed: ", oneLine(err))
		return
	}
	cfg.limits.limitMemory()
	p.loop.Post(func() {
		p.proxy.Reload(cfg.proxy)
		p.member.rotateKeys(cfg.member)
	})
}
