package main

import (
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"spurspread/internal/logging"
)

// signalHandler handles signals on one goroutine and reloads on another: reading files would block the event loop, and
// a file system that does not respond must not delay a signal that stops the process.
type signalHandler struct {
	reloadDue chan struct{} // buffers one: all SIGHUPs during a reload cause one more reload
	stopping  chan struct{} // closed by stop
	done      chan struct{} // closed when both goroutines have ended
}

// startSignalHandler starts to handle signals for p, until stop.
func startSignalHandler(p *balancerProcess, signals <-chan os.Signal) *signalHandler {
	h := &signalHandler{
		reloadDue: make(chan struct{}, 1),
		stopping:  make(chan struct{}),
		done:      make(chan struct{}),
	}
	var running sync.WaitGroup
	running.Go(func() { h.handleSignals(p, signals) }) // owned by h, as is the next: stop ends both and waits
	running.Go(func() { h.handleReloads(p) })
	go func() {
		running.Wait()
		close(h.done)
	}()
	return h
}

// handleSignals receives signals until stop. SIGHUP schedules a reload; any other signal stops the process.
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

// handleReloads carries out scheduled reloads, one at a time, until stop.
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

// stop ends both goroutines, and waits for them at most stopTimeout.
func (h *signalHandler) stop() {
	close(h.stopping)
	waitWithTimeout(h.done, stopTimeout)
}

// waitWithTimeout waits until done is closed, at most for limit.
func waitWithTimeout(done <-chan struct{}, limit time.Duration) {
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// stop shuts the process down: by a hot restart if a successor serves the same address already, else by draining.
func (p *balancerProcess) stop() {
	if pid := p.successorPID(); pid != noPID {
		p.loop.Post(func() { p.proxy.HotRestart(p.transferSocketPath, pid) })
		return
	}
	p.loop.Post(func() {
		p.member.leave()
		p.proxy.Drain()
	})
}

// reload reads both files again and applies what can change while the process serves: the memory limit, the settings of
// the proxy (see proxy.Proxy.Reload) and the keys of membership. If either file is invalid, nothing changes.
func (p *balancerProcess) reload() {
	cfg, err := p.command.load(p.getenv)
	if err != nil {
		p.log.WithField(logging.File, p.command.Config).Error("reload rejected, nothing changed: ", oneLine(err))
		return
	}
	cfg.process.limitMemory()
	p.loop.Post(func() {
		p.proxy.Reload(cfg.proxy)
		p.member.rotateKeys(cfg.member)
	})
}
