package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"spurspread/decision/membership"
	"spurspread/decision/zonedirectory"
	"spurspread/internal/siteconfig"
	"strings"
	"text/tabwriter"
	"time"
)

// localSite is where the site file says that this member stands; the zero Site where it names no zone.
func localSite(f *siteconfig.Membership) (zonedirectory.Site, error) {
	for _, name := range []string{string(f.Region), string(f.Zone)} {
		if len(name) > zonedirectory.MaxName {
			return zonedirectory.Site{}, fmt.Errorf(
				"fleet: %q is longer than the %d characters that a region or zone may have",
				name,
				zonedirectory.MaxName,
			)
		}
	}
	return zonedirectory.Site{Region: string(f.Region), Zone: string(f.Zone)}, nil
}

// ZonesReport is what MEMBERS answers besides, in a fleet with zones.
type ZonesReport struct {
	Zone    string         `json:"zone"`
	Region  string         `json:"region"`
	Live    int            `json:"live"`
	Known   int            `json:"known"`
	Zones   []zoneReport   `json:"zones"`
	Records []recordReport `json:"records"`
}

// zoneReport is one zone. Delegates are names where they are known, as those of the own zone are, else addresses.
type zoneReport struct {
	Region      string   `json:"region"`
	Zone        string   `json:"zone"`
	State       string   `json:"state"`
	Live        int      `json:"live"`
	Known       int      `json:"known"`
	Version     uint64   `json:"version"`
	Delegates   []string `json:"delegates"`
	Own         bool     `json:"own"`
	SinceMillis int64    `json:"since_ms"`
}

type recordReport struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   string `json:"value"`
}

// zonesReport tells of the zones; nil in a fleet without.
func (f *fleetMember) zonesReport() *ZonesReport {
	views := f.host.Zones()
	if views == nil {
		return nil
	}
	names := map[membership.ID]string{}
	for _, m := range f.host.View() {
		names[m.ID] = m.Name
	}
	at := f.host.Site()
	told := &ZonesReport{
		Zone:    at.Zone,
		Region:  at.Region,
		Live:    f.host.Live(),
		Known:   f.host.Known(),
		Records: []recordReport{},
	}
	for i := range views {
		told.Zones = append(told.Zones, newZoneReport(&views[i], names))
	}
	for _, r := range f.host.Records() {
		told.Records = append(told.Records, recordReport{r.Name, r.Version, r.Value})
	}
	return told
}

func newZoneReport(v *zonedirectory.View, names map[membership.ID]string) zoneReport {
	one := zoneReport{
		Region: v.Site.Region, Zone: v.Site.Zone, State: v.State.String(), Live: v.Live, Known: v.Known, Version: v.Version,
		Delegates: []string{}, Own: v.Own,
	}
	for _, c := range v.Contacts[:min(len(v.Contacts), zonedirectory.Delegates)] {
		one.Delegates = append(one.Delegates, cmp.Or(names[membership.ID(c.ID)], c.Addr.String()))
	}
	if v.Since > 0 {
		one.SinceMillis = time.Now().UnixMilli() - int64(v.Since/1000)
	}
	return one
}

// publish answers RECORD.
func (f *fleetMember) publish(name, value string) string {
	r, err := f.host.Publish(name, value)
	if err != nil {
		return "-ERR " + err.Error()
	}
	return fmt.Sprintf("+OK %d", r.Version)
}

// printZones prints the zones and records of a fleet that has zones.
func (v *membersReport) printZones(out io.Writer) error {
	if v.ZonesReport == nil {
		return nil
	}
	_, _ = fmt.Fprintf(
		out,
		"\n%d members live in all zones, %d are known; rates are divided by %.1f\n\n",
		v.Live,
		v.Known,
		v.Divisor,
	)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "region\tzone\tstate\tsince\tlive\tknown\tversion\tdelegates")
	for _, z := range v.Zones {
		since := ageText(z.SinceMillis) + " ago"
		if z.Own {
			since = "own"
		}
		_, _ = fmt.Fprintf(
			w,
			"%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n",
			cmp.Or(z.Region, "-"),
			z.Zone,
			z.State,
			since,
			z.Live,
			z.Known,
			z.Version,
			strings.Join(z.Delegates, " "),
		)
	}
	if err := w.Flush(); err != nil || len(v.Records) == 0 {
		return err
	}
	_, _ = fmt.Fprintln(out)
	_, _ = fmt.Fprintln(w, "record\tversion\tvalue")
	for _, r := range v.Records {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\n", r.Name, r.Version, r.Value)
	}
	return w.Flush()
}

type recordCmd struct {
	Name  string `arg:"" help:"What the record is called, 1 to 32 characters without blanks."`
	Value string `arg:"" help:"Its new value, at most 64 characters."`
	Mgmt  string `required:"" env:"GW_MGMT" placeholder:"ADDRESS" help:"The management address of a member; any will do."`
}

// Help is shown below the command's own line.
func (recordCmd) Help() string {
	return `Publishes a new value of a record through one member; it spreads to all members of all zones that can be reached, and the
newest version wins. Prints that version. 'spurspread members' shows which version a member has. Nothing acts on records yet.

Example:
  spurspread record limits 7 --mgmt 127.0.0.1:9901`
}

// errInvalidRecord is why a record is not even sent.
var errInvalidRecord = errors.New(
	"a record's name has 1 to 32 characters without blanks, its value 1 to 64, all printable ASCII",
)

// Run asks a member to publish it, and prints the version.
func (c recordCmd) Run(s *streams) error {
	if !isPrintable(c.Name, zonedirectory.MaxName) || strings.Contains(c.Name, " ") ||
		!isPrintable(c.Value, zonedirectory.MaxValue) ||
		strings.TrimSpace(c.Value) != c.Value {
		return errInvalidRecord
	}
	answer, err := callAdmin(c.Mgmt, "RECORD "+c.Name+" "+c.Value)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s has version %s\n", c.Name, answer)
	return err
}

// isPrintable tells whether a text has 1 to most characters, all printable ASCII.
func isPrintable(text string, most int) bool {
	for _, c := range []byte(text) {
		if c < 0x20 || c >= 0x7f {
			return false
		}
	}
	return text != "" && len(text) <= most
}
