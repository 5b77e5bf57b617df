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

// adminTimeout bounds a call of the management address.
const adminTimeout = 3 * time.Second

// ErrRefused is the error of a management call that was answered with anything but +OK.
var ErrRefused = errors.New("management call refused")

// Admin makes a call of the management address, and returns the answer behind +OK. Any other answer is ErrRefused.
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

// View is the fleet as one process reports it by MEMBERS. Live, Zones and Records are reported in fleets with zones
// only; there, Members are those of the process's own zone.
type View struct {
	Suspicions bool    `json:"doubts"`
	Divisor    float64 `json:"divisor"`
	Members    []struct {
		Name        string  `json:"name"`
		State       string  `json:"state"`
		Incarnation uint64  `json:"incarnation"`
		LostOut     float64 `json:"lost_out"`
		LostIn      float64 `json:"lost_in"`
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

// View calls MEMBERS of the process.
func (p *Proc) View() (*View, error) {
	text, err := p.Admin("MEMBERS")
	if err != nil {
		return nil, err
	}
	v := &View{}
	return v, json.Unmarshal([]byte(text), v)
}

// State is a member's state and incarnation, "" and 0 for a name that the view does not have.
func (v *View) State(name string) (state string, incarnation uint64) {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State, m.Incarnation
		}
	}
	return "", 0
}

// ZoneState is a zone's state, "" for a zone that the view does not have.
func (v *View) ZoneState(zone string) string {
	for _, z := range v.Zones {
		if z.Zone == zone {
			return z.State
		}
	}
	return ""
}

// Record is the value of a record, "" for a name that the view does not have.
func (v *View) Record(name string) string {
	for _, r := range v.Records {
		if r.Name == name {
			return r.Value
		}
	}
	return ""
}
