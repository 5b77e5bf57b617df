package proxy

import (
	"math/rand/v2"
	"net/netip"
	"reflect"
	"strings"

	"github.com/sirupsen/logrus"

	"spurspread/decision"
	"spurspread/decision/lifecycle"
	"spurspread/decision/overload"
	"spurspread/internal/eventloop"
	"spurspread/internal/logging"
	"spurspread/internal/settings"
)

// Config is what a Proxy is started with. Reload takes a new one, of which Listen, Seed, CachedList and SaveList have
// no effect until the process restarts.
type Config struct {
	// Settings are the platform's settings, which have been checked.
	Settings settings.Settings
	// Listen is where clients connect; port 0 lets the kernel choose one.
	Listen netip.AddrPort
	// Discovery is the address of service discovery.
	Discovery netip.AddrPort
	// Seed is what all random choices are drawn from. The same seed and the same events give the same decisions.
	Seed uint64
	// CachedList is a server list in the form that discovery sends, as it was last known; none if empty. A balancer
	// with an outdated list serves before discovery answers, one without has to reject.
	CachedList []byte
	// MaxDescriptors is how many descriptors the process may hold; 0 for no limit. Idle connections are closed before
	// it is reached.
	MaxDescriptors int
	// MemoryLimit is how many bytes the process may use; 0 for unknown. Less memory means smaller buffers for slow
	// readers, and so lower throughput to them.
	MemoryLimit int64
	// Resume turns resumable streams on; nil for off.
	Resume *ResumeConfig
	// SaveList, if set, is given the whole server list and the address that it came from, some time after a change. It
	// must not block.
	SaveList func(discovery netip.AddrPort, list []byte)
	// Channels turns multiplexed connections on; nil for off.
	Channels *ChannelConfig
}

// Proxy is one balancer on one event loop. Its methods are called on the loop's goroutine.
type Proxy struct {
	loop   *eventloop.Loop
	cfg    Config
	log    *logrus.Logger
	random *rand.Rand // for jitter

	core       dispatcher
	servers    serverDirectory
	listener   listener
	requests   requestTable
	latencies  latencyTable
	upstreams  muxUpstreams
	buffers    bufferLimits
	drain      drain
	resumption resumption
	stats      counters

	clientFaults clientFaultLog
	fleet        fleetPosition
}

// New starts a proxy on the loop: it listens, and its decision core begins with the cached server list. It returns an
// error where that list can't be read or the address can't be listened at.
func New(l *eventloop.Loop, cfg Config, log *logrus.Logger) (*Proxy, error) {
	return start(l, cfg, log, decision.New(cfg.Settings.Decision, cfg.Seed, l.Now()))
}

func start(l *eventloop.Loop, cfg Config, log *logrus.Logger, core decisionCore) (*Proxy, error) {
	p := newProxy(l, cfg, log, core)
	p.fitBuffers()
	p.configureChannels(cfg.Channels)
	p.resumption.configure(cfg.Resume, cfg.Seed)
	cached, err := p.servers.open(cfg)
	if err != nil {
		return nil, err
	}
	if err := p.listener.listen(cfg.Listen); err != nil {
		return nil, err
	}
	p.core.dispatch(p.servers.event(decision.UpdateCached, cached))
	p.resumption.followServerList(cached)
	p.servers.watchIfPushed()
	l.After(sweepInterval, p.latencies.sweep)
	l.After(statsInterval, p.logStats)
	return p, nil
}

// jitterSequence tells the proxy's own random sequence from others of the same seed.
const jitterSequence = 0x6a69747465720001

// newProxy connects the owners with each other.
func newProxy(l *eventloop.Loop, cfg Config, log *logrus.Logger, core decisionCore) *Proxy {
	p := &Proxy{loop: l, cfg: cfg, log: log, random: rand.New(rand.NewPCG(cfg.Seed, jitterSequence))}
	p.core = dispatcher{loop: l, core: core, apply: p.apply, emptied: p.requests.freeClosed}
	p.servers = newServerDirectory(p)
	p.listener = newListener(p)
	p.requests = newRequestTable()
	p.latencies = latencyTable{proxy: p}
	p.upstreams = newMuxUpstreams(p)
	p.buffers = newBufferLimits()
	p.drain = drain{proxy: p}
	p.resumption = resumption{proxy: p}
	return p
}

// Addr is where the proxy listens.
func (p *Proxy) Addr() netip.AddrPort { return p.listener.socket.Addr() }

// Drain stops in a planned way: new requests are rejected, requests under way are finished or answered, every
// established connection is moved, and then the loop stops.
func (p *Proxy) Drain() { p.drain.stop() }

// HotRestart stops as Drain does, for a successor, process pid, that listens on the same port and takes established
// connections at the path. What can't be transferred is moved.
func (p *Proxy) HotRestart(path string, pid int) { p.drain.handOver(path, pid) }

// LifecycleState is what the proxy is doing: serving, a lame duck, or stopping.
func (p *Proxy) LifecycleState() lifecycle.State { return p.drain.lifecycleState() }

// HandleAdminCall carries out a command of the admin listener and returns its reply, without the line end.
func (p *Proxy) HandleAdminCall(command lifecycle.CommandKind) string {
	if command == lifecycle.CommandUnserved {
		return strings.TrimSpace("+OK " + p.stats.unserved.text())
	}
	return p.drain.handleAdminCall(command)
}

// AcceptTransfers listens at the path for connections that an older process transfers when it ends.
func (p *Proxy) AcceptTransfers(path string) error {
	_, err := p.loop.ListenPackets(
		path,
		func(*eventloop.PacketConn) eventloop.PacketOwner { return transferReceiver{p} },
	)
	return err
}

// fleetPosition is this balancer's position among those that share the fleet's budgets, as membership reports it.
type fleetPosition struct {
	size int // balancers of the fleet; 0 where nothing was reported yet
	rank int // of this one among them, from 0 on
}

// override puts the reported position in place of the settings'.
func (f fleetPosition) override(s *decision.Settings) {
	if f.size > 0 {
		s.Balancers = f.size
		s.Rank = f.rank
	}
}

// SetFleet reports how many balancers share the fleet's budgets, and which rank this one has among them, from 0 on.
// Until it is called the settings' numbers hold.
func (p *Proxy) SetFleet(size, rank int) {
	position := fleetPosition{size, rank}
	if position == p.fleet {
		return
	}
	p.fleet = position
	p.fleet.override(&p.cfg.Settings.Decision)
	p.core.dispatch(decision.SettingsChanged{Settings: p.cfg.Settings.Decision})
}

// Reload takes a configuration that was read again, as far as it can change while the process runs: the settings,
// discovery's address, the limits, resumption and channels. Settings are swapped whole: later requests are served by
// them, and connections keep the class that they were accepted with.
func (p *Proxy) Reload(cfg Config) {
	if cfg.Listen != p.cfg.Listen {
		p.log.Warn("change of listen ignored, it needs a restart")
	}
	p.reloadSettings(cfg.Settings)
	p.cfg.MaxDescriptors = cfg.MaxDescriptors
	p.cfg.MemoryLimit = cfg.MemoryLimit
	p.fitBuffers()
	p.resumption.configure(cfg.Resume, p.cfg.Seed)
	p.configureChannels(cfg.Channels)
	if cfg.Discovery != p.cfg.Discovery {
		p.cfg.Discovery = cfg.Discovery
		p.servers.client.ChangeAddress(cfg.Discovery)
	}
	p.servers.watchIfPushed()
	p.log.WithField(logging.Discovery, cfg.Discovery).Info("configuration reloaded")
}

func (p *Proxy) reloadSettings(changed settings.Settings) {
	p.fleet.override(&changed.Decision)
	p.servers.keepNumbers(&changed)
	if reflect.DeepEqual(changed, p.cfg.Settings) {
		return
	}
	p.cfg.Settings = changed
	p.core.dispatch(decision.SettingsChanged{Settings: changed.Decision})
	p.log.WithField(logging.Classes, strings.Join(changed.ClassNames, ",")).Info("settings changed")
}

// descriptorsShort reports whether the process comes near its limit of descriptors.
func (p *Proxy) descriptorsShort() bool {
	return overload.DescriptorsShort(p.loop.OpenSockets(), p.cfg.MaxDescriptors)
}
