package discovery

import "net/netip"

// ServerState is a server's state as discovery lists it.
type ServerState uint8

// The listed states.
const (
	Ready       ServerState = iota // takes new connections
	Terminating                    // keeps its connections for a while, takes no new ones
	Gone                           // not listed any more
)

// Server is one server that connections can be made to.
type Server struct {
	Number        uint32         // its index in the list; stays for as long as the process runs
	ID            string         // its instance id
	Addr          netip.AddrPort // not valid where the published one could not be read
	Zone          string
	MachineType   string
	Cell          uint64
	State         ServerState
	Weight        float64
	StartedMillis int64 // when it started, Unix milliseconds; 0: in the distant past
}

// Update is one change of the list.
type Update struct {
	Generation uint64    // version of the list behind it
	Full       bool      // the update names all servers: others are gone
	Servers    []*Server // as they are behind the update
}

// ServerList is all servers that were ever named to this process. A server keeps its number and its address in memory
// when it changes, and none is removed: its State becomes Gone.
type ServerList struct {
	servers []*Server // by number
	byID    map[string]*Server
}

// NewServerList returns an empty list.
func NewServerList() *ServerList { return &ServerList{byID: map[string]*Server{}} }

// ByID finds a server by its instance id; nil where there is none.
func (l *ServerList) ByID(id []byte) *Server { return l.byID[string(id)] }

// ByNumber finds a server by its number; nil where there is none.
func (l *ServerList) ByNumber(number uint32) *Server {
	if int(number) >= len(l.servers) {
		return nil
	}
	return l.servers[number]
}

// Apply parses one of discovery's JSON objects and applies it. Where it returns ErrMalformedList nothing is changed.
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

// put adds or replaces one server, by its id, and returns its place in the list.
func (l *ServerList) put(server Server) *Server {
	place := l.byID[server.ID]
	if place == nil {
		place = &Server{Number: uint32(len(l.servers))}
		l.servers = append(l.servers, place)
		l.byID[server.ID] = place
	}
	server.Number = place.Number
	*place = server
	return place
}
