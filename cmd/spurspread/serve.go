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
	// maxPendingSignals bounds the signals that wait while one is handled; further ones are lost.
	maxPendingSignals = 16
	// stopTimeout bounds the wait at shutdown for a goroutine that has been told to stop, which may be blocked in
	// reading a file or in a lookup.
	stopTimeout = 100 * time.Millisecond
)

// serveCmd is the command serve, which runs a balancer.
type serveCmd struct {
	Config string `env:"GW_CONFIG" placeholder:"FILE" help:"The platform's configuration file (JSON)."`
	Site   string `env:"SPURSPREAD_SITE" placeholder:"FILE" help:"The site file (XML); the features that it turns on are off without it."`
}

// Help returns the text that --help shows below the command's summary.
func (serveCmd) Help() string {
	return `Reads the configuration and serves until SIGTERM; then moves every client and exits with 0.
SIGHUP reads both files again; if either is invalid, all settings stay as they are.

Example:
  GW_CONFIG=example/config.json spurspread serve --site example/site.xml`
}

// Run serves until SIGTERM or SIGINT has stopped the event loop.
func (c *serveCmd) Run(s *environment) error {
	// Signals are caught from before the first step until after the last: an uncaught SIGHUP would kill the process,
	// and an uncaught SIGTERM would cut off its clients.
	signals := make(chan os.Signal, maxPendingSignals)
	signal.Notify(signals, unix.SIGTERM, unix.SIGINT, unix.SIGHUP)
	defer signal.Stop(signals)

	cfg, err := c.load(s.getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(cfg.process.cores)))
	cfg.process.limitMemory()

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

// balancerProcess is a running balancer: the event loop and the components that use it.
type balancerProcess struct {
	command *serveCmd // has the paths of the files that SIGHUP reloads
	getenv  func(string) string
	log     *logrus.Logger
	loop    *eventloop.Loop
	proxy   *proxy.Proxy
	member  *fleetMember // nil if membership is off
	lists   *serverListWriter

	listenAddr         netip.AddrPort // the bound address for clients
	announcementPath   string
	transferSocketPath string
}

// run starts all components, serves until the event loop is stopped, and shuts the components down.
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

// startProxy listens for clients, and starts to store the server lists from discovery.
func (p *balancerProcess) startProxy(cfg configuration) error {
	var err error
	if p.proxy, err = proxy.New(p.loop, cfg.proxy, p.log); err != nil {
		return err
	}
	// The files are named after the bound address, not the configured one: several balancers may be configured with
	// the same address and port 0.
	p.listenAddr = p.proxy.Addr()
	p.setRestartPaths()
	p.lists.start(p.listenAddr)
	return nil
}

// startMember joins the fleet, if membership is on.
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

// startAdmin listens for admin commands, if an address for them is configured.
func (p *balancerProcess) startAdmin(cfg configuration) error {
	if !cfg.process.adminAddr.IsValid() {
		return nil
	}
	_, err := admin.Listen(p.loop, cfg.process.adminAddr, p.member.handleAdmin(p.proxy.HandleAdminCommand))
	return err
}
