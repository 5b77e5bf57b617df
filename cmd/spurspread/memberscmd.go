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

type membersCmd struct {
	Mgmt string `required:"" env:"GW_MGMT" placeholder:"ADDRESS" help:"The management address of the member that is asked."`
	JSON bool   `name:"json" help:"Print what the member answers."`
}

// Help is shown below the command's own line.
func (membersCmd) Help() string {
	return "Asks one member for the fleet as it sees it: state, since when, incarnation, when it was last heard, " +
		"round trip and the\nparts of pings and answers that are lost. A member that doubts itself says so: " +
		"it was paused, or hears nobody. In a fleet with\nzones these are the members of its own zone; " +
		"a line for each zone, and the records, follow." + `

Example:
  spurspread members --mgmt 127.0.0.1:9901`
}

// Run prints the report of a member.
func (c membersCmd) Run(s *streams) error {
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
		return fmt.Errorf("%s answered something else than a view: %w", c.Mgmt, err)
	}
	if report.Degraded {
		_, _ = fmt.Fprintln(s.out, "this member doubts itself: it was paused, or hears nobody")
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

// printZones prints the zones and records; nothing where there are no zones.
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

func percent(part float64) float64 { return 100 * part }

func ageText(millis int64) string {
	return (time.Duration(millis) * time.Millisecond).Round(100 * time.Millisecond).String()
}

type recordCmd struct {
	Name  string `arg:"" help:"What the record is called, 1 to 32 characters without blanks."`
	Value string `arg:"" help:"Its new value, at most 64 characters."`
	Mgmt  string `required:"" env:"GW_MGMT" placeholder:"ADDRESS" help:"The management address of a member; any will do."`
}

// Help is shown below the command's own line.
func (recordCmd) Help() string {
	return "Publishes a new value of a record through one member; it spreads to all members of all zones " +
		"that can be reached, and the\nnewest version wins. Prints that version. 'spurspread members' shows " +
		"which version a member has. Nothing acts on records yet." + `

Example:
  spurspread record limits 7 --mgmt 127.0.0.1:9901`
}

// errInvalidRecord rejects a record before it is sent.
var errInvalidRecord = errors.New(
	"a record's name has 1 to 32 characters without blanks, its value 1 to 64, all printable ASCII",
)

// Run has a member publish the record, and prints its version.
func (c recordCmd) Run(s *streams) error {
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

// validRecord reports whether a record fits the admin command: the name is one word, and the value, which may have
// blanks within, neither begins nor ends with one.
func validRecord(name, value string) bool {
	if !isPrintable(name, zonedirectory.MaxName) || strings.Contains(name, " ") {
		return false
	}
	return isPrintable(value, zonedirectory.MaxValue) && strings.TrimSpace(value) == value
}

// isPrintable reports whether text has 1 to maxBytes characters, all printable ASCII.
func isPrintable(text string, maxBytes int) bool {
	for _, c := range []byte(text) {
		if c < ' ' || c > '~' {
			return false
		}
	}
	return text != "" && len(text) <= maxBytes
}
