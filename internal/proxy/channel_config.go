package proxy

import (
	"spurspread/decision/monotime"
	"spurspread/decision/upstreampool"
)

// ChannelConfig configures multiplexed connections with SSH-style channels to clients and servers; see
// docs/protocol/channels.md for the protocol. Peers that speak plain lines are not affected.
type ChannelConfig struct {
	// AcceptDownstream lets clients open multiplexed connections, with a first line that starts with "SSH-".
	AcceptDownstream bool
	// UseUpstream sends requests over multiplexed connections to servers that speak channels. This saves connections
	// and their set-up, but a connection that fails ends all requests on it.
	UseUpstream bool
	// Version is the program's version, sent in the identification line.
	Version string
	// MaxChannels limits the concurrent channels on a client's connection.
	MaxChannels int
	// OpensPerSecond limits the rate at which a client's connection may open channels; it is also the burst size.
	OpensPerSecond float64
	// Window is the maximum receive window per channel, in bytes. A larger window gives a higher throughput over long
	// round-trip times and takes more memory.
	Window uint32
	// SetupTimeout limits the time from the greeting until the client requests the service.
	SetupTimeout monotime.Micros
	// IdleTimeout is the time without data after which a client's connection without channels is closed; one with
	// channels is closed after twice this time. After three quarters of it the client is pinged, whose reply counts as
	// data.
	IdleTimeout monotime.Micros
	// Pool limits the multiplexed upstream connections.
	Pool upstreampool.Limits
}

// configureChannels applies a configuration; nil turns channels off. Existing multiplexed connections stay open then.
func (p *Proxy) configureChannels(cfg *ChannelConfig) {
	if cfg == nil && p.upstreams.pool != nil {
		off := *p.cfg.Channels
		off.AcceptDownstream = false
		off.UseUpstream = false
		cfg = &off
	}
	p.cfg.Channels = cfg
	if cfg == nil {
		return
	}
	p.updateWindowBudget()
	if p.upstreams.pool != nil {
		p.upstreams.pool.SetLimits(cfg.Pool)
		return
	}
	p.upstreams.pool = upstreampool.New(cfg.Pool)
	p.loop.After(retireInterval, p.upstreams.retireIdle)
}
