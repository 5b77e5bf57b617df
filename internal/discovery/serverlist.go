package discovery

import "net/netip"

// ServerState is the state of a server according to discovery.
type ServerState uint8

// States of a server.
const (
	Ready       ServerState = iota // accepts new connections
	Terminating                    // keeps its connections for a while, but accepts no new ones
	Gone                           // no longer listed
)

// Server describes one server.
type Server struct {
	Number        uint32         // index in the ServerList; does not change while the process runs
	ID            string         // instance ID
	Addr          netip.AddrPort // not valid if the published address could not be parsed
	Zone          string
	MachineType   string
	Cell          uint64 // see decision.ScopeCell
	State         ServerState
	Weight        float64 // relative capacity; 0 if not listed
	StartedMillis int64   // start time, Unix milliseconds; 0 means long ago
}

// Update is one update of the list.
type Update struct {
	Generation uint64    // version of the list after the update
	Full       bool      // whether the update lists all servers: all others are gone
	Servers    []*Server // the updated servers, in their state after the update
}

// ServerList holds every server that was ever listed to this process. A server that changes keeps its number and its
// *Server. No server is removed from the list: it becomes Gone instead.
type ServerList struct {
	servers []*Server // by number
	byID    map[string]*Server
}

// NewServerList returns an empty list.
func NewServerList() *ServerList { return &ServerList{byID: map[string]*Server{}} }

// ByID returns the server with the given instance ID, nil if there is none.
func (l *ServerList) ByID(id []byte) *Server { return l.byID[string(id)] }

// ByNumber returns the server with the given number, nil if there is none.
func (l *ServerList) ByNumber(number uint32) *Server {
	if int(number) >= len(l.servers) {
		return nil
	}
	return l.servers[number]
}

// Apply parses a JSON object from discovery and applies it. If it returns ErrMalformedList, nothing has changed.
func (l *ServerList) Apply(text []byte) (Update, error) {
	parsed, err := parseUpdate(text)
	if err != nil {
		return Update{}, err
	}
	update := Update{Generation: parsed.generation, Full: parsed.full}
	if update.Full {
		for _, server := range l.servers {
			server.State = Gone
		}
	}
	for _, server := range parsed.servers {
		update.Servers = append(update.Servers, l.put(server))
	}
	return update, nil
}

// put adds a server, or replaces the one with its ID, and returns the entry in the list.
func (l *ServerList) put(server Server) *Server {
	entry := l.byID[server.ID]
	if entry == nil {
		entry = &Server{Number: uint32(len(l.servers))}
		l.servers = append(l.servers, entry)
		l.byID[server.ID] = entry
	}
	server.Number = entry.Number
	*entry = server
	return entry
}
