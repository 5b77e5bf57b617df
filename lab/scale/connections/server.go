package connections

import (
	"bytes"
	"errors"
	"net/netip"
	"sync/atomic"

	"spurspread/lab/netloop"
)

// servers are the stand-in servers: they answer a first line with UP and send each further line back, or keep all
// answers back while they hold.
type servers struct {
	ws       workers
	addrs    []netip.AddrPort
	hold     atomic.Bool
	held     atomic.Int64 // first lines that wait for their answer
	standing atomic.Int64
	waiting  [][]*backend // by worker: those whose answer is kept back
	all      []map[*backend]bool
	lns      [][]*netloop.Listener
}

// startServers listens on so many loopback addresses, in turn on so many loops.
func startServers(loops, listeners int) (*servers, error) {
	ws, err := newWorkers(loops)
	s := &servers{
		ws:      ws,
		waiting: make([][]*backend, loops),
		all:     make([]map[*backend]bool, loops),
		lns:     make([][]*netloop.Listener, loops),
	}
	for i := range s.all {
		s.all[i] = map[*backend]bool{}
	}
	for k := 0; k < listeners && err == nil; k++ {
		i := k % loops
		ws[i].do(func() { err = s.listen(i) })
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *servers) listen(i int) error {
	ln, err := s.ws[i].l.Listen(netip.MustParseAddrPort("127.0.0.1:0"), func(fd int) {
		b := &backend{s: s, i: i}
		if conn, err := s.ws[i].l.Adopt(fd, b); err == nil {
			s.all[i][b] = true
			b.Readable(conn)
		}
	})
	if err == nil {
		s.addrs, s.lns[i] = append(s.addrs, ln.Addr()), append(s.lns[i], ln)
	}
	return err
}

// reset closes all connections, of balancers that have ended.
func (s *servers) reset() {
	s.ws.each(func(i int, _ *worker) {
		s.waiting[i] = nil
		for b := range s.all[i] {
			b.end()
		}
	})
	s.hold.Store(false)
	s.held.Store(0)
	s.standing.Store(0)
}

func (s *servers) close() {
	s.ws.each(func(i int, _ *worker) {
		for b := range s.all[i] {
			b.end()
		}
		for _, ln := range s.lns[i] {
			ln.Close()
		}
	})
	s.ws.close()
}

// backend is one connection of a balancer to a stand-in server.
type backend struct {
	s           *servers
	i           int // its loop
	conn        *netloop.Conn
	head        []byte // the first line, as far as it has come
	established bool
}

// Readable is part of netloop.Owner.
func (b *backend) Readable(conn *netloop.Conn) {
	b.conn = conn
	for scratch := b.s.ws[b.i].scratch; ; {
		n, err := conn.Read(scratch)
		if errors.Is(err, netloop.ErrAgain) {
			return
		}
		if err != nil {
			b.end()
			return
		}
		if b.established {
			conn.Write(scratch[:n])
		} else {
			b.first(scratch[:n])
		}
	}
}

// first takes a part of the first line. Its sender waits for the answer before it sends more.
func (b *backend) first(part []byte) {
	if b.head = append(b.head, part...); b.head[len(b.head)-1] != '\n' {
		return
	}
	if bytes.HasPrefix(b.head, []byte("PING")) {
		b.conn.Write([]byte("PONG\r\n"))
		b.head = nil
		return
	}
	b.head = nil
	if b.s.hold.Load() {
		b.s.held.Add(1)
		b.s.waiting[b.i] = append(b.s.waiting[b.i], b)
		return
	}
	b.up(b.conn)
}

func (b *backend) up(conn *netloop.Conn) {
	b.established = true
	b.s.standing.Add(1)
	conn.Write([]byte("UP 1\r\n"))
}

func (b *backend) end() {
	if !b.s.all[b.i][b] {
		return
	}
	delete(b.s.all[b.i], b)
	if b.established {
		b.s.standing.Add(-1)
	}
	b.conn.Close()
}
