package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"spurspread/decision/zonedirectory"
)

// columnGap is the space between the columns of tables, in characters.
const columnGap = 2

// membersCmd is the command members, which prints a member's view of the fleet.
type membersCmd struct {
	Mgmt string `required:"" env:"GW_MGMT" placeholder:"ADDRESS" help:"The management address of the member to ask."`
	JSON bool   `name:"json" help:"Print the member's reply as it is, in JSON."`
}

// Help returns the text that --help shows below the command's summary.
func (membersCmd) Help() string {
	return "Asks one member for its view of the fleet: the state of each member and its age, the incarnation, the " +
		"time since\nthe last message, the round trip, and the share of pings and replies that got lost. " +
		"A member whose own view is\nunreliable, because it was paused or receives nothing, says so first. " +
		"In a fleet with zones the members are those of\nits own zone; a line for each zone and the records follow." + `

Example:
  spurspread members --mgmt 127.0.0.1:9901`
}

// Run asks a member for its report and prints it.
func (c membersCmd) Run(s *environment) error {
	reply, err := callAdmin(c.Mgmt, "MEMBERS")
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = fmt.Fprintln(s.out, reply)
		return err
	}
	var report membersReport
	if err := json.Unmarshal([]byte(reply), &report); err != nil {
		return fmt.Errorf("decode the member report from %s: %w", c.Mgmt, err)
	}
	if report.Unhealthy {
		_, _ = fmt.Fprintln(s.out, "this member's view is unreliable: it was paused, or receives nothing")
	}
	if err := report.printMembers(s.out); err != nil {
		return err
	}
	return report.printZones(s.out)
}

func (r *membersReport) printMembers(out io.Writer) error {
	table := newTable(out)
	_, _ = fmt.Fprintln(table, "member\tstate\tsince\tincarnation\theard\tround trip\tlost out\tlost back\taddress")
	for i, m := range r.Members {
		since := ageText(m.SinceMillis) + " ago"
		heard := ageText(m.LastReceivedMillis) + " ago"
		roundTrip := fmt.Sprintf("%.1f ms", float64(m.RTTMicros)/1000)
		if i == 0 { // the member that reports
			since, heard, roundTrip = "-", "itself", "-"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%.0f%%\t%.0f%%\t%s\n", m.Name, m.State, since, m.Incarnation,
			heard, roundTrip, percent(m.LostOut), percent(m.LostIn), m.Addr)
	}
	return table.Flush()
}

// printZones prints the zones and records; nothing in a fleet without zones.
func (r *membersReport) printZones(out io.Writer) error {
	if r.ZonesReport == nil {
		return nil
	}
	_, _ = fmt.Fprintf(out, "\n%d members live in all zones, %d are known; rates are divided by %.1f\n\n",
		r.Live, r.Known, r.Divisor)
	table := newTable(out)
	_, _ = fmt.Fprintln(table, "region\tzone\tstate\tsince\tlive\tknown\tversion\tdelegates")
	for _, z := range r.Zones {
		since := ageText(z.SinceMillis) + " ago"
		if z.Own {
			since = "own"
		}
		_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", cmp.Or(z.Region, "-"), z.Zone, z.State, since,
			z.Live, z.Known, z.Version, strings.Join(z.Delegates, " "))
	}
	if err := table.Flush(); err != nil || len(r.Records) == 0 {
		return err
	}
	_, _ = fmt.Fprintln(out)
	_, _ = fmt.Fprintln(table, "record\tversion\tvalue")
	for _, record := range r.Records {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%s\n", record.Name, record.Version, record.Value)
	}
	return table.Flush()
}

func newTable(out io.Writer) *tabwriter.Writer {
	return tabwriter.NewWriter(out, 0, 0, columnGap, ' ', 0)
}

func percent(fraction float64) float64 { return 100 * fraction }

func ageText(millis int64) string {
	return (time.Duration(millis) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// recordCmd is the command record, which publishes a record through a member.
type recordCmd struct {
	Name  string `arg:"" help:"The record's name, 1 to 32 characters without blanks."`
	Value string `arg:"" help:"The new value, 1 to 64 characters."`
	Mgmt  string `required:"" env:"GW_MGMT" placeholder:"ADDRESS" help:"The management address of a member; any will do."`
}

// Help returns the text that --help shows below the command's summary.
func (recordCmd) Help() string {
	return "Publishes a new value of a record through one member, and prints its version. The record spreads to all " +
		"members of\nall zones that can be reached; the newest version wins. 'spurspread members' shows " +
		"which version a member has.\nNothing acts on records yet." + `

Example:
  spurspread record limits 7 --mgmt 127.0.0.1:9901`
}

// errInvalidRecord reports a record that the admin command can't carry; it is not sent.
var errInvalidRecord = errors.New(
	"invalid record: the name must have 1 to 32 characters without blanks, and the value 1 to 64 without blanks " +
		"at its ends, all printable ASCII",
)

// Run has a member publish the record, and prints its version.
func (c recordCmd) Run(s *environment) error {
	if !validRecord(c.Name, c.Value) {
		return errInvalidRecord
	}
	reply, err := callAdmin(c.Mgmt, "RECORD "+c.Name+" "+c.Value)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s has version %s\n", c.Name, reply)
	return err
}

// validRecord reports whether the admin command can carry a record: the name must be one word, and the value may
// contain blanks but neither begin nor end with one.
func validRecord(name, value string) bool {
	if !isPrintable(name, zonedirectory.MaxName) || strings.Contains(name, " ") {
		return false
	}
	return isPrintable(value, zonedirectory.MaxValue) && strings.TrimSpace(value) == value
}

// isPrintable reports whether text consists of 1 to maxBytes printable ASCII characters.
func isPrintable(text string, maxBytes int) bool {
	for _, c := range []byte(text) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return text != "" && len(text) <= maxBytes
}
