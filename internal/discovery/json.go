package discovery

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"github.com/tidwall/gjson"
)

// Values of the lifecycle field.
const (
	lifecycleReady       = "Ready"
	lifecycleTerminating = "Terminating"
	lifecycleGone        = "Gone"
)

// serverJSON is a server in discovery's JSON format.
type serverJSON struct {
	InstanceID  string  `json:"instanceId"`
	HostPort    string  `json:"hostPort"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"machineType"`
	Cell        uint64  `json:"cell"`
	Lifecycle   string  `json:"lifecycle"`
	Weight      float64 `json:"weight"`
	StartedAtMs int64   `json:"startedAtMs"`
}

// updateJSON is a full list in discovery's JSON format.
type updateJSON struct {
	Generation uint64       `json:"generation"`
	Reset      bool         `json:"reset"` // whether Instances is the full list
	Instances  []serverJSON `json:"instances"`
}

// parsedUpdate is a parsed object from discovery.
type parsedUpdate struct {
	generation uint64
	full       bool
	servers    []Server // without numbers
}

// parseUpdate parses an object from discovery. Unknown fields are ignored.
func parseUpdate(text []byte) (parsedUpdate, error) {
	root := gjson.ParseBytes(text)
	if !gjson.ValidBytes(text) || !root.IsObject() {
		return parsedUpdate{}, malformedList("not a JSON object")
	}
	generation := root.Get("generation")
	if generation.Type != gjson.Number {
		return parsedUpdate{}, malformedList("generation is not a number")
	}
	instances := root.Get("instances")
	if instances.Exists() && !instances.IsArray() && instances.Type != gjson.Null {
		return parsedUpdate{}, malformedList("instances is not a list")
	}
	update := parsedUpdate{generation: generation.Uint(), full: root.Get("reset").Bool()}
	for i, item := range instances.Array() {
		server, err := parseServer(item)
		if err != nil {
			return parsedUpdate{}, fmt.Errorf("%w in instance %d", err, i)
		}
		update.servers = append(update.servers, server)
	}
	return update, nil
}

// parseGeneration parses only the generation of an object.
func parseGeneration(text []byte) (uint64, error) {
	generation := gjson.GetBytes(text, "generation")
	if generation.Type != gjson.Number {
		return 0, malformedList("generation is not a number")
	}
	return generation.Uint(), nil
}

// parseServer parses one server. If its address can't be parsed, the server is listed without a valid address and can't
// be connected to.
func parseServer(item gjson.Result) (Server, error) {
	id := item.Get("instanceId")
	if id.Type != gjson.String || id.Str == "" {
		return Server{}, malformedList("no instanceId")
	}
	lifecycle := item.Get("lifecycle").String()
	state, known := parseLifecycle(lifecycle)
	if !known {
		return Server{}, malformedList("unknown lifecycle %.40q", lifecycle)
	}
	started := item.Get("startedAtMs").Int()
	if started < 0 {
		return Server{}, malformedList("negative startedAtMs %d", started)
	}
	addr, err := netip.ParseAddrPort(item.Get("hostPort").String())
	if err != nil {
		addr = netip.AddrPort{}
	}
	return Server{
		ID:            id.Str,
		Addr:          addr,
		Zone:          item.Get("zone").String(),
		MachineType:   item.Get("machineType").String(),
		Cell:          item.Get("cell").Uint(),
		State:         state,
		Weight:        item.Get("weight").Float(),
		StartedMillis: started,
	}, nil
}

func parseLifecycle(text string) (state ServerState, known bool) {
	switch text {
	case lifecycleReady:
		return Ready, true
	case lifecycleTerminating:
		return Terminating, true
	case lifecycleGone:
		return Gone, true
	}
	return Ready, false
}

// Snapshot returns the full list in discovery's JSON format, with the given generation and without servers that are
// gone.
func (l *ServerList) Snapshot(generation uint64) []byte {
	full := updateJSON{Generation: generation, Reset: true, Instances: []serverJSON{}}
	for _, server := range l.servers {
		if server.State != Gone {
			full.Instances = append(full.Instances, server.toJSON())
		}
	}
	text, _ := json.Marshal(full) // can't fail for these types
	return text
}

// toJSON converts a server, which must not be Gone, to discovery's JSON format.
func (s *Server) toJSON() serverJSON {
	lifecycle := lifecycleReady
	if s.State == Terminating {
		lifecycle = lifecycleTerminating
	}
	addr := ""
	if s.Addr.IsValid() {
		addr = s.Addr.String()
	}
	return serverJSON{
		InstanceID:  s.ID,
		HostPort:    addr,
		Zone:        s.Zone,
		MachineType: s.MachineType,
		Cell:        s.Cell,
		Lifecycle:   lifecycle,
		Weight:      s.Weight,
		StartedAtMs: s.StartedMillis,
	}
}

func malformedList(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformedList}, args...)...)
}
