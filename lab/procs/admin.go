package procs

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// adminTimeout bounds one call of a management address.
const adminTimeout = 3 * time.Second

// ErrRefused means that the answer to a management call did not begin with +OK.
var ErrRefused = errors.New("management call refused")

// Admin sends a command to the process's management address, and returns the part of the answer after +OK. If the
// answer does not begin with +OK, the error wraps ErrRefused.
func (p *Proc) Admin(call string) (string, error) {
	conn, err := net.DialTimeout("tcp", p.ManagementAddr, adminTimeout)
	if err != nil {
		return "", err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(adminTimeout))
	if _, err := fmt.Fprint(conn, call, "\r\n"); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return "", err
	}
	answer := strings.TrimSpace(line)
	if rest, ok := strings.CutPrefix(answer, "+OK"); ok {
		return strings.TrimSpace(rest), nil
	}
	return "", fmt.Errorf("%w: %s answered %q", ErrRefused, p.Name, answer)
}

// View is the view of the fleet that one process reports for the command MEMBERS. Live, Zones and Records are reported
// only in fleets with zones; there Members has only the members of the process's own zone.
type View struct {
	Unhealthy bool    `json:"doubts"`  // the process considers its own view unreliable at present
	Divisor   float64 `json:"divisor"` // of the rates that the whole fleet shares
	Members   []struct {
		Name        string  `json:"name"`
		State       string  `json:"state"`
		Incarnation uint64  `json:"incarnation"`
		LostOut     float64 `json:"lost_out"` // fraction of pings that were lost, from 0 to 1
		LostIn      float64 `json:"lost_in"`  // fraction of replies to pings that were lost, from 0 to 1
	} `json:"members"`
	Live  int `json:"live"`
	Zones []struct {
		Zone  string `json:"zone"`
		State string `json:"state"`
	} `json:"zones"`
	Records []struct {
		Name  string `json:"name"`
		Value string `json:"value"`
	} `json:"records"`
}

// View returns the process's view, by the command MEMBERS.
func (p *Proc) View() (*View, error) {
	text, err := p.Admin("MEMBERS")
	if err != nil {
		return nil, err
	}
	v := &View{}
	return v, json.Unmarshal([]byte(text), v)
}

// State returns a member's state and incarnation; "" and 0 if the view does not have the member.
func (v *View) State(name string) (state string, incarnation uint64) {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State, m.Incarnation
		}
	}
	return "", 0
}

// ZoneState returns a zone's state; "" if the view does not have the zone.
func (v *View) ZoneState(zone string) string {
	for _, z := range v.Zones {
		if z.Zone == zone {
			return z.State
		}
	}
	return ""
}

// Record returns the value of a record; "" if the view does not have the record.
func (v *View) Record(name string) string {
	for _, r := range v.Records {
		if r.Name == name {
			return r.Value
		}
	}
	return ""
}
