package main

import (
	"errors"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"spurspread/internal/admin"
	"spurspread/internal/eventloop"
	"spurspread/internal/logging"
	"spurspread/internal/proxy"
)

const (
	// maxPendingSignals bounds signals that come while one is handled; further ones are lost.
	maxPendingSignals = 16
	// stopTimeout is how long the end of the process waits for a goroutine that has been asked to end: one that is in
	// a read of a file or in a lookup may not return in time.
	stopTimeout = 100 * time.Millisecond
)

// serve is the command that runs a balancer.
type serve struct {
	Config string `env:"GW_CONFIG" placeholder:"FILE" help:"The platform's configuration (JSON)."`
	Site   string `env:"SPURSPREAD_SITE" placeholder:"FILE" help:"Our own settings (XML); all that they turn on is off without."`
}

// Help is shown below the command's own line.
func (serve) Help() string {
	return `Reads the configuration, listens and serves until SIGTERM, which moves every client and exits with 0.
SIGHUP reads both files again; what can't be used changes nothing.

Example:
  GW_CONFIG=example/config.json spurspread serve --site example/site.xml`
}

// Run serves until SIGTERM or SIGINT has ended the loop.
func (c *serve) Run(s *streams) error {
	// Registered before all else and until the end: unhandled, a SIGHUP would end the process, and a SIGTERM cut off
	// its clients.
	signals := make(chan os.Signal, maxPendingSignals)
	signal.Notify(signals, unix.SIGTERM, unix.SIGINT, unix.SIGHUP)
	defer signal.Stop(signals)

	cfg, err := c.load(s.getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(cfg.limits.cores)))
	cfg.limits.limitMemory()

	logOutput := logging.NewAsyncWriter(s.err)
	defer logOutput.Close()
	log := logging.New(logOutput, s.format)

	inheritServerList(&cfg.proxy, log)
	lists := newServerListWriter(log)
	defer lists.close()
	cfg.proxy.SaveList = lists.save

	p := &balancerProcess{command: c, getenv: s.getenv, log: log, lists: lists}
	return p.run(cfg, signals)
}

// balancerProcess is a balancer at work: the event loop, and what runs on it.
type balancerProcess struct {
	command *serve // names the files that SIGHUP reads again
	getenv  func(string) string
	log     *logrus.Logger
	loop    *eventloop.Loop
	proxy   *proxy.Proxy
	member  *fleetMember // nil where membership is off
	lists   *serverListWriter

	listenAddr         netip.AddrPort // the address that was bound for clients
	announcementPath   string
	transferSocketPath string
}

// run starts all parts, serves until the loop is stopped, and ends all parts.
func (p *balancerProcess) run(cfg configuration, signals <-chan os.Signal) (err error) {
	if p.loop, err = eventloop.New(); err != nil {
		return err
	}
	defer func() { err = errors.Join(err, p.loop.Close()) }()
	if err := p.startProxy(cfg); err != nil {
		return err
	}
	if err := p.startMember(cfg); err != nil {
		return err
	}
	defer p.member.close()
	if err := p.startAdmin(cfg); err != nil {
		return err
	}
	handler := startSignalHandler(p, signals)
	defer handler.stop()
	p.announce()
	defer p.withdraw()
	releasePages()
	return p.loop.Run()
}

// startProxy listens for clients, and begins to store the server lists from discovery.
func (p *balancerProcess) startProxy(cfg configuration) error {
	var err error
	if p.proxy, err = proxy.New(p.loop, cfg.proxy, p.log); err != nil {
		return err
	}
	// The address that was bound names the files: one with port 0 in the configuration may be many balancers'.
	p.listenAddr = p.proxy.Addr()
	p.setRestartPaths()
	p.lists.start(p.listenAddr)
	return nil
}

// startMember joins the fleet, where membership is on.
func (p *balancerProcess) startMember(cfg configuration) error {
	if cfg.member == nil {
		return nil
	}
	cfg.member.ExpectedMembers = cfg.proxy.Settings.Decision.Balancers
	cfg.member.OnTick = p.proxy.SetFleet
	var err error
	p.member, err = joinFleet(p.loop, cfg.member, cfg.site.Membership, p.log)
	return err
}

// startAdmin listens for admin commands, where there is an address for them.
func (p *balancerProcess) startAdmin(cfg configuration) error {
	if !cfg.limits.adminAddr.IsValid() {
		return nil
	}
	_, err := admin.Listen(p.loop, cfg.limits.adminAddr, p.member.handleAdmin(p.proxy.HandleAdminCommand))
	return err
}
