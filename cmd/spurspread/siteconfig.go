package main

import (
	"spurspread/decision/upstreampool"
	"spurspread/internal/eventloop"
	"spurspread/internal/proxy"
	"spurspread/internal/siteconfig"
	"spurspread/internal/token"
)

// resumeConfig returns the proxy's configuration of resume tokens, or nil if they are off.
func resumeConfig(site *siteconfig.Site) (*proxy.ResumeConfig, error) {
	r := site.Resume
	if r == nil {
		return nil, nil
	}
	ring, err := tokenKeyring(&r.Keys)
	if err != nil {
		return nil, err
	}
	return &proxy.ResumeConfig{
		KeyRing:       ring,
		TokenLifetime: r.Lifetime.Std().Milliseconds(),
		ClockSkew:     r.Skew.Std().Milliseconds(),
		MaxClaims:     r.MaxClaims,
		DrainSpread:   eventloop.Micros(r.DrainSpread.Micros()),
	}, nil
}

func tokenKeyring(keys *siteconfig.Keys) (*token.Keyring, error) {
	var ring []token.Key
	for _, key := range keys.Key {
		ring = append(ring, token.Key{Secret: key.Secret, Primary: key.IsPrimary()})
	}
	return token.NewKeyring(ring)
}

// channelsConfig returns the proxy's configuration of multiplexed channels, or nil if they are off.
func channelsConfig(site *siteconfig.Site) *proxy.ChannelConfig {
	c := site.Channels
	if c == nil {
		return nil
	}
	return &proxy.ChannelConfig{
		AcceptDownstream: c.Clients,
		UseUpstream:      c.Upstreams,
		Version:          version(),
		MaxChannels:      c.MaxChannels,
		OpensPerSecond:   float64(c.OpenRate),
		Window:           uint32(c.Window),
		SetupTimeout:     eventloop.Micros(c.FirstPacket.Micros()),
		IdleTimeout:      eventloop.Micros(c.Idle.Micros()),
		Pool:             poolLimits(c.UpstreamPool),
	}
}

// poolLimits returns the limits of the pool of connections to servers; pool may be nil, for the defaults.
func poolLimits(pool *siteconfig.UpstreamPool) upstreampool.Limits {
	if pool == nil {
		pool = siteconfig.DefaultUpstreamPool()
	}
	return upstreampool.Limits{
		ChannelsPerConnection: pool.ChannelsPerConnection,
		ConnectionsPerServer:  pool.ConnectionsPerServer,
		Connections:           pool.MaxConnections,
		IdleTimeout:           eventloop.Micros(pool.Idle.Micros()),
		PlainTTL:              eventloop.Micros(pool.PlainTTL.Micros()),
	}
}
