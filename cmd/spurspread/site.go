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
	if _, err := resumption(got); err != nil {
		return err
	}
	if _, err := memberConfig(got, "a-member", 0); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s: site %q: %s\n", c.File, got.Name, summary(got))
	return err
}

func summary(s *siteconfig.Site) string {
	var on []string
	if s.Resume != nil {
		on = append(on, fmt.Sprintf("resume tokens of %v, %d keys", s.Resume.Life.Std(), len(s.Resume.Keys.Key)))
	}
	if s.Fleet != nil {
		on = append(
			on,
			fmt.Sprintf("membership at %s with %d seeds%s", s.Fleet.Listen, len(s.Fleet.Seeds.Seed), place(s.Fleet)),
		)
	}
	if s.Channels != nil {
		on = append(on, fmt.Sprintf("channels (clients %v, nodes %v)", s.Channels.Clients, s.Channels.Nodes))
	}
	if len(on) == 0 {
		return "nothing turned on"
	}
	return strings.Join(on, "; ")
}

// place says where a member stands, if it says so itself.
func place(f *siteconfig.Fleet) (text string) {
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

// resumption is what the relay is told of resume tokens, nil where they are off.
func resumption(s *siteconfig.Site) (*proxy.Resume, error) {
	if s.Resume == nil {
		return nil, nil
	}
	ring, err := ringOf(&s.Resume.Keys)
	if err != nil {
		return nil, err
	}
	return &proxy.Resume{
		Ring: ring, Life: s.Resume.Life.Std().Milliseconds(), Skew: s.Resume.Skew.Std().Milliseconds(),
		Claims: s.Resume.Claims, Spread: eventloop.Micros(s.Resume.Spread.Micros()),
	}, nil
}

// channels is what the relay is told of multiplexed channels, nil where they are off.
func channels(s *siteconfig.Site) *proxy.Channels {
	c := s.Channels
	if c == nil {
		return nil
	}
	t := c.Trunks
	if t == nil {
		t = siteconfig.DefaultTrunks()
	}
	return &proxy.Channels{
		Clients: c.Clients, Nodes: c.Nodes, Version: version(), Most: c.Most, Opens: float64(c.Opens),
		Window: uint32(
			c.Window,
		), FirstPacket: eventloop.Micros(c.FirstPacket.Micros()), Idle: eventloop.Micros(c.Idle.Micros()),
		Pool: upstreampool.Limits{
			Channels: t.Channels,
			Trunks:   t.Each,
			All:      t.All,
			Idle:     eventloop.Micros(t.Idle.Micros()),
			Plain:    eventloop.Micros(t.Plain.Micros()),
		},
	}
}

func ringOf(keys *siteconfig.Keys) (*token.Ring, error) {
	var ring []token.Key
	for _, k := range keys.Key {
		ring = append(ring, token.Key{Secret: k.Secret, Mints: k.Use == "mint"})
	}
	return token.NewRing(ring)
}
