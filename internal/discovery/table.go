// Package route keeps the route table, the list of egress targets as discovery has it, and asks discovery for it.
package discovery

import (
	"encoding/json"
	"errors"
	"net/netip"

	"github.com/tidwall/gjson"
)

// State is a target's state as discovery lists it.
type State uint8

// The listed states.
const (
	Ready State = iota
	Terminating
	Gone
)

// Target is one egress target.
type Target struct {
	Num           uint32 // its place in the table, for as long as the process runs
	ID            string
	Addr          netip.AddrPort // not valid where discovery's was not readable
	Zone, Machine string
	Cell          uint16
	State         State
	Weight        float64
	StartedMillis int64 // 0: long ago
}

// Change is one word of discovery.
type Change struct {
	Generation uint64
	Whole      bool // what is not in it is gone
	Targets    []*Target
}

// Table is the route table. A target keeps its number and its place in memory as it changes.
type Table struct {
	targets []*Target
	byID    map[string]*Target
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{byID: map[string]*Target{}} }

// ByID finds a target by discovery's name for it.
func (t *Table) ByID(id []byte) *Target { return t.byID[string(id)] }

// ByNum finds a target by its number.
func (t *Table) ByNum(num uint32) *Target {
	if int(num) >= len(t.targets) {
		return nil
	}
	return t.targets[num]
}

var errList = errors.New("discovery's list is malformed")

var states = map[string]State{"Ready": Ready, "Terminating": Terminating, "Gone": Gone}

// Apply reads one of discovery's JSON objects into the table. It is all or nothing.
func (t *Table) Apply(text []byte) (Change, error) {
	root := gjson.ParseBytes(text)
	if !gjson.ValidBytes(text) || !root.IsObject() {
		return Change{}, errList
	}
	generation, list := root.Get("generation"), root.Get("instances")
	if generation.Type != gjson.Number || (list.Exists() && !list.IsArray() && list.Type != gjson.Null) {
		return Change{}, errList
	}
	var read []Target
	for _, item := range list.Array() {
		e, ok := entry(item)
		if !ok {
			return Change{}, errList
		}
		read = append(read, e)
	}
	c := Change{Generation: generation.Uint(), Whole: root.Get("reset").Bool()}
	if c.Whole {
		for _, old := range t.targets {
			old.State = Gone
		}
	}
	for _, e := range read {
		at := t.byID[e.ID]
		if at == nil {
			at = &Target{Num: uint32(len(t.targets))}
			t.targets, t.byID[e.ID] = append(t.targets, at), at
		}
		e.Num = at.Num
		*at = e
		c.Targets = append(c.Targets, at)
	}
	return c, nil
}

// listed is a target in discovery's own form.
type listed struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        uint16  `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

var lifecycles = map[State]string{Ready: "Ready", Terminating: "Terminating"}

// Whole is the table as discovery would list it at a generation, without what is gone.
func (t *Table) Whole(generation uint64) []byte {
	list := struct {
		Generation uint64   `json:"generation"`
		Reset      bool     `json:"reset"`
		Instances  []listed `json:"instances"`
	}{generation, true, []listed{}}
	for _, at := range t.targets {
		if at.State == Gone {
			continue
		}
		addr := ""
		if at.Addr.IsValid() {
			addr = at.Addr.String()
		}
		list.Instances = append(list.Instances, listed{
			at.ID, addr, at.Zone, at.Machine, at.Cell, lifecycles[at.State], at.Weight,
			at.StartedMillis,
		})
	}
	text, _ := json.Marshal(list) // of these types it can't fail
	return text
}

// generation reads the version that an object of discovery's brings.
func generation(text []byte) (uint64, error) {
	g := gjson.GetBytes(text, "generation")
	if g.Type != gjson.Number {
		return 0, errList
	}
	return g.Uint(), nil
}

func entry(item gjson.Result) (Target, bool) {
	id, started := item.Get("instanceId"), item.Get("startedAtMs")
	state, known := states[item.Get("lifecycle").String()]
	if id.Type != gjson.String || id.Str == "" || !known || started.Int() < 0 {
		return Target{}, false
	}
	// An address that can't be read leaves a target that can't be connected to.
	addr, _ := netip.ParseAddrPort(item.Get("hostPort").String())
	return Target{
		ID: id.Str, Addr: addr, Zone: item.Get("zone").String(), Machine: item.Get("machineType").String(),
		Cell: uint16(item.Get("cell").Uint()), State: state, Weight: item.Get("weight").Float(),
		StartedMillis: started.Int(),
	}, true
}
