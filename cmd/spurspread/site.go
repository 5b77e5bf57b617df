package main

import (
	"fmt"
	"strings"

	"spurspread/internal/siteconfig"
	"spurspread/internal/xmlconfig"
)

// siteCmds are the subcommands of site.
type siteCmds struct {
	Check  siteCheck  `cmd:"" help:"Check a site file and the key files that it names."`
	Schema siteSchema `cmd:"" help:"Print the schema of site files (XSD 1.0)."`
}

// siteCheck is the command site check.
type siteCheck struct {
	File string `arg:"" help:"The site file (XML)."`
}

// Help returns the text that --help shows below the command's summary.
func (siteCheck) Help() string {
	return "Reports all faults of the file at once, one per line: file, line, element, " +
		`fault, and how to correct it.
Exits with 1 if there are any.

Example:
  spurspread site check deploy/spurspread.xml`
}

// placeholderName replaces the platform's name of the balancer, which is not known during a check.
const placeholderName = "a-member"

// Run checks the file as serve does, and prints the features that it turns on.
func (c siteCheck) Run(s *environment) error {
	site, err := siteconfig.Load(c.File)
	if err != nil {
		_, _ = fmt.Fprintln(s.err, err)
		return fmt.Errorf("site file %s can't be used", c.File)
	}
	if _, err := resumeConfig(site); err != nil {
		return err
	}
	if _, err := peerConfig(site, placeholderName, 0); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s: site %q: %s\n", c.File, site.Name, summary(site))
	return err
}

// summary describes the features that a site file turns on.
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
				locationText(s.Membership),
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

// locationText describes the region, zone and rack of a member, as far as they are given.
func locationText(f *siteconfig.Membership) (text string) {
	for _, part := range []struct {
		label string
		name  xmlconfig.Name
	}{{"region", f.Region}, {"zone", f.Zone}, {"rack", f.Rack}} {
		if part.name != "" {
			text += fmt.Sprintf(", %s %s", part.label, part.name)
		}
	}
	return text
}

// siteSchema is the command site schema.
type siteSchema struct{}

// Help returns the text that --help shows below the command's summary.
func (siteSchema) Help() string {
	return `Example:
  spurspread site schema > spurspread.xsd && xmllint --noout --schema spurspread.xsd my-site.xml`
}

// Run prints the schema.
func (siteSchema) Run(s *environment) error {
	_, err := s.out.Write(siteconfig.Schema())
	return err
}
