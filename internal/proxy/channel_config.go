package proxy

import (
	"spurspread/decision/monotime"
	"spurspread/decision/upstreampool"
)

// ChannelConfig has clients and servers use multiplexed connections with SSH-style channels; docs/protocol/channels.md
// has the protocol. Whoever speaks plain lines is served as without it.
type ChannelConfig struct {
	// Downstreams lets clients open multiplexed connections, with a first line that begins with SSH-.
	AcceptDownstream bool
	// Upstreams has requests go over multiplexed connections to servers that speak channels. It saves connections and
	// their set-up, but a broken one ends all requests on it.
	UseUpstream bool
	// Version is the program's version, for the identification.
	Version string
	// MaxChannels is how many channels a client's connection may have at once.
	MaxChannels int
	// OpensPerSecond is how many channels a second a client's connection may open, and how many at once.
	OpensPerSecond float64
	// Window is how many bytes a peer is granted on each channel at most. A larger one is faster over long round trips
	// and takes more memory.
	Window uint32
	// SetupTimeout is how long a client may take to request the service.
	SetupTimeout monotime.Micros
	// IdleTimeout is how long a client's connection may be quiet.
	IdleTimeout monotime.Micros
	// Pool bounds the upstream connections.
	Pool upstreampool.Limits
}

// configureChannels takes a configuration, nil for off. Connections that are established go on when it is turned off.
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
	p.buffers.muxRead = make([]byte, muxReadSize)
	p.loop.After(retireInterval, p.upstreams.retireIdle)
}
