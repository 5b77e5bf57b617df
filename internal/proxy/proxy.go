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

// Config configures a Proxy. Reload applies a changed Config, except for Listen, Seed, CachedList and SaveList, which
// take effect only when the process restarts.
type Config struct {
	// Settings are the platform's settings, already validated.
	Settings settings.Settings
	// Listen is the address for client connections; port 0 lets the kernel choose a port.
	Listen netip.AddrPort
	// Discovery is the address of service discovery.
	Discovery netip.AddrPort
	// Seed seeds all random choices. The same seed and the same events give the same decisions.
	Seed uint64
	// CachedList is the last known server list, encoded as discovery sends it; empty for none. With a list, even an
	// outdated one, the balancer can serve requests before discovery answers; without one it must reject them.
	CachedList []byte
	// MaxDescriptors limits the file descriptors of the process; 0 for no limit. Close to the limit, idle connections
	// are closed and new requests rejected.
	MaxDescriptors int
	// MemoryLimit is the memory available to the process, in bytes; 0 for unknown. The less memory there is, the
	// smaller are the buffers for slow readers and the receive windows of channels, which lowers their throughput.
	MemoryLimit int64
	// Resume configures resumable streams; nil turns them off.
	Resume *ResumeConfig
	// SaveList, if not nil, is called shortly after a change of the server list, with the whole list and the address of
	// discovery that it came from. It must not block.
	SaveList func(discovery netip.AddrPort, list []byte)
	// Channels configures multiplexed connections; nil turns them off.
	Channels *ChannelConfig
}

// Proxy is one balancer on one event loop. Its methods must be called on the loop's goroutine.
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

// New starts a proxy on the loop: it listens for clients, and its decision core starts with the cached server list. It
// returns an error if the list can't be parsed or the address can't be bound.
func New(l *eventloop.Loop, cfg Config, log *logrus.Logger) (*Proxy, error) {
	return start(l, cfg, log, decision.New(cfg.Settings.Decision, cfg.Seed, l.Now()))
}

// start is New with a given decision core.
func start(l *eventloop.Loop, cfg Config, log *logrus.Logger, core decisionCore) (*Proxy, error) {
	p := newProxy(l, cfg, log, core)
	p.updateBufferLimits()
	p.configureChannels(cfg.Channels)
	p.resumption.configure(cfg.Resume, cfg.Seed)
	cached, err := p.servers.open(cfg)
	if err != nil {
		return nil, err
	}
	if err := p.listener.listen(cfg.Listen); err != nil {
		return nil, err
	}
	p.core.dispatch(p.servers.updateEvent(decision.UpdateCached, cached))
	p.resumption.handleServerListUpdate(cached)
	p.servers.watchIfPushed()
	l.After(sweepInterval, p.latencies.sweep)
	l.After(statsInterval, p.logStats)
	return p, nil
}

// jitterSequence separates the proxy's random sequence from others with the same seed.
const jitterSequence = 0x6a69747465720001

// newProxy creates the components and connects them with each other.
func newProxy(l *eventloop.Loop, cfg Config, log *logrus.Logger, core decisionCore) *Proxy {
	p := &Proxy{loop: l, cfg: cfg, log: log, random: rand.New(rand.NewPCG(cfg.Seed, jitterSequence))}
	p.core = dispatcher{loop: l, core: core, apply: p.apply, onEmpty: p.requests.freeClosed}
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

// Addr returns the address at which the proxy listens.
func (p *Proxy) Addr() netip.AddrPort { return p.listener.socket.Addr() }

// Drain starts a planned stop: new requests are rejected, every established connection is moved, and then the loop
// stops. Pending requests are still placed; those that are not established once the moves are over get their final
// answer.
func (p *Proxy) Drain() { p.drain.shutDown() }

// HotRestart stops like Drain, but hands over to a successor, the process pid, which listens on the same port and
// accepts established connections at the Unix socket path. Connections that can't be transferred are moved.
func (p *Proxy) HotRestart(path string, pid int) { p.drain.hotRestart(path, pid) }

// LifecycleState returns whether the proxy is serving, a lame duck, or stopping.
func (p *Proxy) LifecycleState() lifecycle.State { return p.drain.lifecycleState() }

// HandleAdminCommand carries out a command of the admin listener and returns the reply, without the line end.
func (p *Proxy) HandleAdminCommand(command lifecycle.CommandKind) string {
	if command == lifecycle.CommandUnserved {
		return strings.TrimSpace("+OK " + p.stats.unserved.text())
	}
	return p.drain.handleAdminCommand(command)
}

// AcceptTransfers listens at the Unix socket path for established connections that a predecessor transfers in a hot
// restart.
func (p *Proxy) AcceptTransfers(path string) error {
	_, err := p.loop.ListenPackets(
		path,
		func(*eventloop.PacketConn) eventloop.PacketOwner { return transferReceiver{p} },
	)
	return err
}

// fleetPosition is the size of the fleet, whose balancers share its budgets, and this balancer's rank in it, as
// membership reports them.
type fleetPosition struct {
	size int // number of balancers in the fleet; 0 until it is first reported
	rank int // rank of this balancer, from 0 on
}

// override replaces the fleet size and rank of the settings by the reported ones, if there are any.
func (f fleetPosition) override(s *decision.Settings) {
	if f.size > 0 {
		s.Balancers = f.size
		s.Rank = f.rank
	}
}

// SetFleet sets the number of balancers that share the fleet's budgets and the rank of this balancer among them, from 0
// on. Until it is called, the values of the settings apply.
func (p *Proxy) SetFleet(size, rank int) {
	position := fleetPosition{size, rank}
	if position == p.fleet {
		return
	}
	p.fleet = position
	p.fleet.override(&p.cfg.Settings.Decision)
	p.core.dispatch(decision.SettingsChanged{Settings: p.cfg.Settings.Decision})
}

// Reload applies the parts of a changed configuration that can change while the process runs: the settings, discovery's
// address, the limits, resumption and channels. The settings are replaced as a whole for later requests; existing
// connections keep the class that they were accepted with.
func (p *Proxy) Reload(cfg Config) {
	if cfg.Listen != p.cfg.Listen {
		p.log.Warn("change of listen ignored, it needs a restart")
	}
	p.reloadSettings(cfg.Settings)
	p.cfg.MaxDescriptors = cfg.MaxDescriptors
	p.cfg.MemoryLimit = cfg.MemoryLimit
	p.updateBufferLimits()
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
	p.servers.preserveZoneIndex(&changed)
	if reflect.DeepEqual(changed, p.cfg.Settings) {
		return
	}
	p.cfg.Settings = changed
	p.core.dispatch(decision.SettingsChanged{Settings: changed.Decision})
	p.log.WithField(logging.Classes, strings.Join(changed.ClassNames, ",")).Info("settings changed")
}

// nearDescriptorLimit reports whether descriptors are short: the process is close to Config.MaxDescriptors.
func (p *Proxy) nearDescriptorLimit() bool {
	return overload.DescriptorsShort(p.loop.OpenSockets(), p.cfg.MaxDescriptors)
}
