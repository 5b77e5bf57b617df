// Package route keeps the route table, the list of egress targets as discovery has it, and asks discovery for it.
package discovery

import (
	"encoding/json"
	"errors"
	"net/netip"

	"github.com/tidwall/gjson"
)

// ServerState is a target's state as discovery lists it.
type ServerState uint8

// The listed states.
const (
	Ready ServerState = iota
	Terminating
	Gone
)

// Server is one egress target.
type Server struct {
	Number            uint32 // its place in the table, for as long as the process runs
	ID                string
	Addr              netip.AddrPort // not valid where discovery's was not readable
	Zone, MachineType string
	Cell              uint16
	State             ServerState
	Weight            float64
	StartedMillis     int64 // 0: long ago
}

// Update is one word of discovery.
type Update struct {
	Generation uint64
	Full       bool // what is not in it is gone
	Servers    []*Server
}

// ServerList is the route table. A target keeps its number and its place in memory as it changes.
type ServerList struct {
	servers []*Server
	byID    map[string]*Server
}

// NewServerList returns an empty table.
func NewServerList() *ServerList { return &ServerList{byID: map[string]*Server{}} }

// ByID finds a target by discovery's name for it.
func (t *ServerList) ByID(id []byte) *Server { return t.byID[string(id)] }

// ByNumber finds a target by its number.
func (t *ServerList) ByNumber(num uint32) *Server {
	if int(num) >= len(t.servers) {
		return nil
	}
	return t.servers[num]
}

var ErrMalformedList = errors.New("discovery's list is malformed")

var lifecycleStates = map[string]ServerState{"Ready": Ready, "Terminating": Terminating, "Gone": Gone}

// Apply reads one of discovery's JSON objects into the table. It is all or nothing.
func (t *ServerList) Apply(text []byte) (Update, error) {
	root := gjson.ParseBytes(text)
	if !gjson.ValidBytes(text) || !root.IsObject() {
		return Update{}, ErrMalformedList
	}
	generation, list := root.Get("generation"), root.Get("instances")
	if generation.Type != gjson.Number || (list.Exists() && !list.IsArray() && list.Type != gjson.Null) {
		return Update{}, ErrMalformedList
	}
	var read []Server
	for _, item := range list.Array() {
		e, ok := parseServer(item)
		if !ok {
			return Update{}, ErrMalformedList
		}
		read = append(read, e)
	}
	c := Update{Generation: generation.Uint(), Full: root.Get("reset").Bool()}
	if c.Full {
		for _, old := range t.servers {
			old.State = Gone
		}
	}
	for _, e := range read {
		at := t.byID[e.ID]
		if at == nil {
			at = &Server{Number: uint32(len(t.servers))}
			t.servers, t.byID[e.ID] = append(t.servers, at), at
		}
		e.Number = at.Number
		*at = e
		c.Servers = append(c.Servers, at)
	}
	return c, nil
}

// serverJSON is a target in discovery's own form.
type serverJSON struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        uint16  `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

var lifecycleNames = map[ServerState]string{Ready: "Ready", Terminating: "Terminating"}

// Snapshot is the table as discovery would list it at a generation, without what is gone.
func (t *ServerList) Snapshot(generation uint64) []byte {
	list := struct {
		Generation uint64       `json:"generation"`
		Reset      bool         `json:"reset"`
		Instances  []serverJSON `json:"instances"`
	}{generation, true, []serverJSON{}}
	for _, at := range t.servers {
		if at.State == Gone {
			continue
		}
		addr := ""
		if at.Addr.IsValid() {
			addr = at.Addr.String()
		}
		list.Instances = append(list.Instances, serverJSON{
			at.ID, addr, at.Zone, at.MachineType, at.Cell, lifecycleNames[at.State], at.Weight,
			at.StartedMillis,
		})
	}
	text, _ := json.Marshal(list) // of these types it can't fail
	return text
}

// parseGeneration reads the version that an object of discovery's brings.
func parseGeneration(text []byte) (uint64, error) {
	g := gjson.GetBytes(text, "generation")
	if g.Type != gjson.Number {
		return 0, ErrMalformedList
	}
	return g.Uint(), nil
}

func parseServer(item gjson.Result) (Server, bool) {
	id, started := item.Get("instanceId"), item.Get("startedAtMs")
	state, known := lifecycleStates[item.Get("lifecycle").String()]
	if id.Type != gjson.String || id.Str == "" || !known || started.Int() < 0 {
		return Server{}, false
	}
	// An address that can't be read leaves a target that can't be connected to.
	addr, _ := netip.ParseAddrPort(item.Get("hostPort").String())
	return Server{
		ID: id.Str, Addr: addr, Zone: item.Get("zone").String(), MachineType: item.Get("machineType").String(),
		Cell: uint16(item.Get("cell").Uint()), State: state, Weight: item.Get("weight").Float(),
		StartedMillis: started.Int(),
	}, true
}
