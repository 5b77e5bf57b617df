package main

import (
	"fmt"
	"spurspread/decision/upstreampool"
	"spurspread/internal/eventloop"
	"spurspread/internal/proxy"
	"spurspread/internal/siteconfig"
	"spurspread/internal/token"
	"spurspread/internal/xmlconfig"
	"strings"
)

type siteCmds struct {
	Check  siteCheck  `cmd:"" help:"Check a site file, with the secrets that it names."`
	Schema siteSchema `cmd:"" help:"Print the schema of site files (XSD 1.0)."`
}

type siteCheck struct {
	File string `arg:"" help:"The site file (XML)."`
}

// Help is shown below the command's own line.
func (siteCheck) Help() string {
	return `Tells all that is wrong with the file at once, a line each: file, line, element, what is wrong, how to mend it.
Exits with 1 if anything is.

Example:
  spurspread site check deploy/spurspread.xml`
}

// Run checks the file as serve does.
func (c siteCheck) Run(s *streams) error {
	got, err := siteconfig.Load(c.File)
	if err != nil {
		_, _ = fmt.Fprintln(s.err, err)
		return fmt.Errorf("%s can't be used", c.File)
	}
	if _, err := resumeConfig(got); err != nil {
		return err
	}
	if _, err := peerConfig(got, "a-member", 0); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s: site %q: %s\n", c.File, got.Name, summary(got))
	return err
}

func summary(s *siteconfig.Site) string {
	var on []string
	if s.Resume != nil {
		on = append(on, fmt.Sprintf("resume tokens of %v, %d keys", s.Resume.Lifetime.Std(), len(s.Resume.Keys.Key)))
	}
	if s.Membership != nil {
		on = append(
			on,
			fmt.Sprintf(
				"membership at %s with %d seeds%s",
				s.Membership.Listen,
				len(s.Membership.Seeds.Seed),
				placement(s.Membership),
			),
		)
	}
	if s.Channels != nil {
		on = append(on, fmt.Sprintf("channels (clients %v, nodes %v)", s.Channels.Clients, s.Channels.Upstreams))
	}
	if len(on) == 0 {
		return "nothing turned on"
	}
	return strings.Join(on, "; ")
}

// placement says where a member stands, if it says so itself.
func placement(f *siteconfig.Membership) (text string) {
	for _, part := range []struct {
		what string
		name xmlconfig.Name
	}{{"region", f.Region}, {"zone", f.Zone}, {"rack", f.Rack}} {
		if part.name != "" {
			text += fmt.Sprintf(", %s %s", part.what, part.name)
		}
	}
	return text
}

type siteSchema struct{}

// Help is shown below the command's own line.
func (siteSchema) Help() string {
	return `Example:
  spurspread site schema > spurspread.xsd && xmllint --noout --schema spurspread.xsd my-site.xml`
}

// Run prints it.
func (siteSchema) Run(s *streams) error {
	_, err := s.out.Write(siteconfig.Schema())
	return err
}

// resumeConfig is what the relay is told of resume tokens, nil where they are off.
func resumeConfig(s *siteconfig.Site) (*proxy.ResumeConfig, error) {
	if s.Resume == nil {
		return nil, nil
	}
	ring, err := tokenRing(&s.Resume.Keys)
	if err != nil {
		return nil, err
	}
	return &proxy.ResumeConfig{
		Ring: ring, TokenLifetime: s.Resume.Lifetime.Std().Milliseconds(), ClockSkew: s.Resume.Skew.Std().Milliseconds(),
		MaxClaims: s.Resume.MaxClaims, DrainSpread: eventloop.Micros(s.Resume.MoveSpread.Micros()),
	}, nil
}

// channelsConfig is what the relay is told of multiplexed channels, nil where they are off.
func channelsConfig(s *siteconfig.Site) *proxy.ChannelConfig {
	c := s.Channels
	if c == nil {
		return nil
	}
	t := c.UpstreamPool
	if t == nil {
		t = siteconfig.DefaultUpstreamPool()
	}
	return &proxy.ChannelConfig{
		Downstreams: c.Clients, Upstreams: c.Upstreams, Version: version(), MaxChannels: c.MaxChannels, OpensPerSecond: float64(c.OpenRate),
		Window: uint32(
			c.Window,
		), SetupTimeout: eventloop.Micros(c.FirstPacket.Micros()), IdleTimeout: eventloop.Micros(c.Idle.Micros()),
		Pool: upstreampool.Limits{
			ChannelsPerConnection: t.ChannelsPerConnection,
			ConnectionsPerServer:  t.ConnectionsPerServer,
			Connections:           t.MaxConnections,
			IdleTimeout:           eventloop.Micros(t.Idle.Micros()),
			PlainTTL:              eventloop.Micros(t.PlainOnlyTTL.Micros()),
		},
	}
}

func tokenRing(keys *siteconfig.Keys) (*token.Ring, error) {
	var ring []token.Key
	for _, k := range keys.Key {
		ring = append(ring, token.Key{Secret: k.Secret, Issues: k.Use == "mint"})
	}
	return token.NewRing(ring)
}
