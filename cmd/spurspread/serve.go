package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"spurspread/internal/admin"
	"spurspread/internal/eventloop"
	"spurspread/internal/logging"
	"spurspread/internal/peer"
	"spurspread/internal/proxy"
	"spurspread/internal/restartproto"
	"spurspread/internal/settings"
	"spurspread/internal/siteconfig"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"
	"golang.org/x/sys/unix"
)

// serve runs the balancer.
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

// limits are what the machine gives the process, 0 where it does not say, and where the process is managed.
type limits struct {
	cores     float64
	memoryMB  int64
	sockets   int
	adminAddr netip.AddrPort // the management address; none where it is not told
	name      string         // the balancer's
}

// Run serves until it is told to stop.
func (c *serve) Run(s *streams) error {
	// Asked for before all else: a SIGHUP would end the process, and a SIGTERM cut off whoever is there.
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, unix.SIGTERM, unix.SIGINT, unix.SIGHUP)
	defer signal.Stop(signals)
	cfg, lim, own, err := c.load(s.getenv)
	if err != nil {
		return err
	}
	members, err := peerConfig(own, lim.name, cfg.Seed)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(lim.cores)))
	lim.limitMemory()
	out := logging.NewAsyncWriter(s.err)
	defer out.Close()
	log := logging.New(out, s.format)

	l, err := eventloop.New()
	if err != nil {
		return err
	}
	c.inheritServerList(&cfg, log)
	lists := newServerListWriter(log)
	defer lists.close()
	cfg.SaveList = lists.save
	p := &balancerProcess{serve: c, getenv: s.getenv, loop: l, log: log}
	if err := p.listen(cfg, lists); err != nil {
		return errors.Join(err, l.Close())
	}
	if members != nil {
		members.ExpectedMembers = cfg.Settings.Decision.Balancers
		if p.member, err = joinFleet(l, members, own.Membership, p.proxy, log); err != nil {
			return errors.Join(err, l.Close())
		}
	}
	if lim.adminAddr.IsValid() {
		if _, err := admin.Listen(l, lim.adminAddr, p.member.handleAdmin(p.proxy.HandleAdminCall)); err != nil {
			return errors.Join(err, l.Close())
		}
	}
	go p.handleSignals(signals)
	p.announce()
	releasePages()
	err = errors.Join(l.Run(), l.Close())
	p.withdraw()
	return err
}

// balancerProcess is one balancer at work: the loop, and what is on it.
type balancerProcess struct {
	*serve
	getenv func(string) string
	loop   *eventloop.Loop
	proxy  *proxy.Proxy
	member *fleetMember // nil where membership is off
	log    *logrus.Logger

	listenAddr         netip.AddrPort // where clients connect
	announcementPath   string         // the path of the hand-over note
	transferSocketPath string         // and of the socket by which an older process hands over its connections
}

// listen opens the clients' address, and begins to keep what discovery tells.
func (p *balancerProcess) listen(cfg proxy.Config, lists *serverListWriter) error {
	var err error
	if p.proxy, err = proxy.New(p.loop, cfg, p.log); err != nil {
		return err
	}
	// By the address that was bound: one with port 0 in the configuration may be many balancers'.
	p.listenAddr = p.proxy.Addr()
	p.announcementPath, p.transferSocketPath = restartproto.AnnouncementPath(
		os.TempDir(),
		p.listenAddr,
	), restartproto.SocketPath(
		os.TempDir(),
		p.listenAddr,
	)
	lists.start(p.listenAddr)
	return nil
}

// handleSignals does what signals ask for, outside the loop: SIGHUP reads the files again; any other hands over to the
// process that follows, and drains where there is none.
func (p *balancerProcess) handleSignals(signals <-chan os.Signal) {
	for sig := range signals {
		if sig == unix.SIGHUP {
			p.reload(p.getenv, p.loop, p.proxy, p.member, p.log)
		} else if pid := successorPID(p.announcementPath, p.listenAddr); pid != 0 {
			p.loop.Post(func() { p.proxy.HotRestart(p.transferSocketPath, pid) })
		} else {
			p.loop.Post(func() {
				p.member.leave()
				p.proxy.Drain()
			})
		}
	}
}

// announce tells an older process on the same address that this one serves. Nobody needs either of its means: what
// can't be made is logged and changes nothing else. The socket comes first, since whoever reads the note may come
// to it.
func (p *balancerProcess) announce() {
	if err := p.proxy.AcceptTransfers(p.transferSocketPath); err != nil {
		p.log.WithError(err).Warn("hot restart: can't accept connections from an older process")
	}
	n := restartproto.Announcement{PID: os.Getpid(), Listen: p.listenAddr.String(), Since: time.Now().UnixMilli()}
	if err := restartproto.WriteAnnouncement(p.announcementPath, n); err != nil {
		p.log.WithError(err).Warn("hot restart: can't write the announcement")
	}
	p.log.WithField(logging.Listen, p.proxy.Addr()).Info("started")
}

// withdraw removes the note and the socket, where they are still this process's: nobody is to take it for a successor.
func (p *balancerProcess) withdraw() {
	if n, err := restartproto.ReadAnnouncement(p.announcementPath); err == nil && n.PID == os.Getpid() {
		_ = os.Remove(p.announcementPath)
		_ = os.Remove(p.transferSocketPath)
	}
}

// successorPID is the other process that serves on the same clients' address, by its hand-over note; 0 where there is
// none.
func successorPID(path string, listen netip.AddrPort) int {
	n, err := restartproto.ReadAnnouncement(path)
	if err != nil || !restartproto.IsSuccessor(n, os.Getpid(), listen, processAlive) {
		return 0
	}
	return n.PID
}

func processAlive(pid int) bool {
	err := unix.Kill(pid, 0)
	return err == nil || errors.Is(err, unix.EPERM)
}

// reload reads all files again, outside the loop. What can't be used changes nothing.
func (c *serve) reload(
	getenv func(string) string,
	l *eventloop.Loop,
	r *proxy.Proxy,
	peers *fleetMember,
	log *logrus.Logger,
) {
	cfg, lim, own, err := c.load(getenv)
	var members *peer.Config
	if err == nil {
		members, err = peerConfig(own, lim.name, cfg.Seed)
	}
	if err != nil {
		log.WithField(logging.File, c.Config).
			Error("reload rejected, nothing changed: ", oneLine(err))
		return
	}
	lim.limitMemory()
	l.Post(func() {
		r.Reload(cfg)
		peers.rotateKeys(members)
	})
}

// limitMemory has the collector work harder near the limit; the rest is for stacks, the binary and the kernel's
// buffers.
func (lim limits) limitMemory() {
	if lim.memoryMB > 0 {
		debug.SetMemoryLimit(lim.memoryMB << 20 * 5 / 8)
	}
}

// load reads the configuration and the site file, which is empty where none is named.
func (c *serve) load(getenv func(string) string) (proxy.Config, limits, *siteconfig.Site, error) {
	own := &siteconfig.Site{}
	cfg, lim, err := c.loadPlatformConfig(getenv)
	if err != nil || c.Site == "" {
		return cfg, lim, own, err
	}
	if own, err = siteconfig.Load(c.Site); err != nil {
		return cfg, lim, nil, err
	}
	cfg.Channels = channelsConfig(own)
	cfg.Resume, err = resumeConfig(own)
	return cfg, lim, own, err
}

// loadPlatformConfig reads the platform's file. The plain variables stand in for what it does not have.
func (c *serve) loadPlatformConfig(getenv func(string) string) (proxy.Config, limits, error) {
	var cfg proxy.Config
	if c.Config == "" {
		return cfg, limits{}, errors.New("GW_CONFIG names no configuration file")
	}
	text, err := readLimited(c.Config)
	if err != nil {
		return cfg, limits{}, fmt.Errorf("configuration: %w", err)
	}
	root := gjson.ParseBytes(text)
	if !gjson.ValidBytes(text) || !root.IsObject() {
		return cfg, limits{}, fmt.Errorf("configuration: %s is not a JSON object", c.Config)
	}
	if cfg.Listen, err = addressSetting(root, "listen", getenv("GW_LISTEN")); err != nil {
		return cfg, limits{}, err
	}
	if cfg.Discovery, err = addressSetting(root, "discovery", getenv("GW_DISCOVERY")); err != nil {
		return cfg, limits{}, err
	}
	if cfg.Settings, err = settings.ParseJSON([]byte(root.Get("settings").Raw)); err != nil {
		return cfg, limits{}, fmt.Errorf("configuration: %w", err)
	}
	if seed := root.Get("seed"); seed.Exists() {
		if cfg.Seed, err = strconv.ParseUint(seed.String(), 16, 64); err != nil {
			return cfg, limits{}, fmt.Errorf("configuration: seed %q is not hexadecimal", seed.String())
		}
	}
	cfg.CachedList = []byte(root.Get("known").Raw)
	lim := limits{
		cores: root.Get("limits.cores").Float(), memoryMB: root.Get("limits.memory_mb").Int(),
		sockets: int(root.Get("limits.sockets").Int()), name: root.Get("name").Str,
	}
	// $GW_MGMT comes before the file's, so that a new version beside the old one takes its own.
	if mg := cmp.Or(getenv("GW_MGMT"), root.Get("mgmt").String()); mg != "" {
		if lim.adminAddr, err = netip.ParseAddrPort(mg); err != nil {
			return cfg, limits{}, fmt.Errorf("management address %q is not an address and port", mg)
		}
	}
	cfg.MaxDescriptors, cfg.MemoryLimit = lim.sockets, lim.memoryMB<<20
	return cfg, lim, nil
}

// maxConfigBytes bounds a configuration, with its list of some thousands of servers, in bytes.
const maxConfigBytes = 64 << 20

func readLimited(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	text, err := io.ReadAll(io.LimitReader(f, maxConfigBytes+1))
	if err == nil && len(text) > maxConfigBytes {
		err = fmt.Errorf("%s has over %d bytes", path, maxConfigBytes)
	}
	return text, err
}

func addressSetting(root gjson.Result, name, otherwise string) (netip.AddrPort, error) {
	text := root.Get(name).String()
	if text == "" {
		text = otherwise
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return addr, fmt.Errorf("configuration: %s %q is not an address and port", name, text)
	}
	return addr, nil
}
