package main

import (
	"os"
	"time"

	"golang.org/x/sys/unix"

	"spurspread/internal/logging"
)

// signalHandler handles signals on a goroutine of its own, since reading files would block the event loop.
type signalHandler struct {
	stopping chan struct{} // closed by stop
	done     chan struct{} // closed when the goroutine has ended
}

// startSignalHandler handles signals for p until stop.
func startSignalHandler(p *balancerProcess, signals <-chan os.Signal) *signalHandler {
	h := &signalHandler{stopping: make(chan struct{}), done: make(chan struct{})}
	go h.run(p, signals) // owned by h: stop ends it and waits for it
	return h
}

func (h *signalHandler) run(p *balancerProcess, signals <-chan os.Signal) {
	defer close(h.done)
	for {
		select {
		case sig := <-signals:
			p.handleSignal(sig)
		case <-h.stopping:
			return
		}
	}
}

// stop ends the goroutine and waits for it, at most stopTimeout.
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

// handleSignal reloads the configuration at SIGHUP. Any other signal stops the process: by a hot restart where another
// process serves the same address already, else by draining.
func (p *balancerProcess) handleSignal(sig os.Signal) {
	if sig == unix.SIGHUP {
		p.reload()
		return
	}
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
