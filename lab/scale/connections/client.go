package connections

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"spurspread/lab/netloop"
)

const (
	// sources are the loopback addresses that the clients of one loop come from: one address has 28,000 ports, and
	// closed connections keep theirs for a minute.
	sources = 8
	// againAfter is when a client comes again that was refused without a word on when, or cut off.
	againAfter = 100 * ms
	// maxSendsPerTurn bounds what one turn of the loop sends, so that answers are read meanwhile.
	maxSendsPerTurn = 128
	// lineLength is the length of a line that clients send, with its end, in bytes.
	lineLength = 40
)

// state is what a client does.
type state uint8

const (
	disconnected state = iota
	silent             // connected, and has sent no first line
	requested          // has sent it
	established        // has been answered UP
)

// generator is the part of the clients that one loop has.
type generator struct {
	*worker
	rng         *rand.Rand
	to          netip.AddrPort
	index       int
	n           *totals
	clients     []*client
	established []*client // in no order
	class       string
	patient     int  // d of a first line, in ms
	churn       bool // who stands leaves and comes again
	again       bool // who was refused or cut off comes again
	source      uint32

	took  []float64 // of lines or set-ups since the last count, from when each was due, in ms
	lag   []float64 // from when a line or connection was due until it was sent, in ms
	sent  int
	open  int // lines that have not come back
	lost  int // lines on connections that ended
	paced bool
}

// totals count over all loops.
type totals struct{ ids, standing, connected, refused, ended, moved, ups atomic.Int64 }

// client is one connection to the balancer.
type client struct {
	g     *generator
	conn  *netloop.Conn
	state state
	due   netloop.Micros // of the present set-up
	head  []byte         // the answer, as far as it has come
	lines []netloop.Micros
	mid   bool // a line from the server is under way
	place int  // in g.stands
	retry *netloop.Timer
}

// dial connects, and with a first line asks.
func (c *client) dial(due netloop.Micros, ask bool) {
	g := c.g
	c.due, c.state, c.head, c.mid = due, silent, nil, false
	fd, err := g.socket()
	if err == nil {
		c.conn, err = g.l.Adopt(fd, c)
	}
	if err != nil {
		c.state = disconnected
		c.later(againAfter)
		return
	}
	g.n.connected.Add(1)
	if ask {
		c.state = requested
		c.conn.Write(
			[]byte(fmt.Sprintf("OPEN %x %x c=%s,d=%d\r\n", g.n.ids.Add(1), g.rng.Uint64(), g.class, g.patient)),
		)
	}
}

// socket starts a connection from one of the loop's source addresses.
func (g *generator) socket() (int, error) {
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	g.source++
	from := unix.SockaddrInet4{Addr: [4]byte{127, 1, byte(g.index), byte(1 + g.source%sources)}}
	to := unix.SockaddrInet4{Addr: g.to.Addr().As4(), Port: int(g.to.Port())}
	err = unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1)
	if err == nil {
		err = unix.Bind(fd, &from)
	}
	if err == nil {
		if err = unix.Connect(fd, &to); errors.Is(err, unix.EINPROGRESS) {
			err = nil
		}
	}
	if err != nil {
		_ = unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// later has the client ask again after a while, if clients are to.
func (c *client) later(after netloop.Micros) {
	if c.g.again {
		c.retry = c.g.l.After(after, func() { c.retry = nil; c.dial(c.due, true) })
	}
}

// Readable is part of netloop.Owner.
func (c *client) Readable(conn *netloop.Conn) {
	for c.conn == conn {
		n, err := conn.Read(c.g.scratch)
		if errors.Is(err, netloop.ErrAgain) {
			return
		}
		if err != nil {
			c.g.n.ended.Add(1)
			c.leave()
			c.later(againAfter)
			return
		}
		if b := c.g.scratch[:n]; c.state == established {
			c.back(b)
		} else {
			c.answer(b)
		}
	}
}

// back takes what a standing connection brings: each line answers the oldest that is open.
func (c *client) back(b []byte) {
	now := c.g.l.Now()
	for len(b) > 0 {
		if !c.mid && b[0] == 'M' {
			c.g.n.moved.Add(1)
		}
		end := bytes.IndexByte(b, '\n')
		if c.mid = end < 0; c.mid {
			return
		}
		b = b[end+1:]
		if len(c.lines) > 0 {
			c.g.took = append(c.g.took, float64(now-c.lines[0])/float64(ms))
			c.lines = c.lines[1:]
			c.g.open--
		}
	}
}

// answer takes the answer to a first line.
func (c *client) answer(b []byte) {
	c.head = append(c.head, b...)
	end := bytes.IndexByte(c.head, '\n')
	if end < 0 {
		return
	}
	line := bytes.TrimSpace(c.head[:end])
	c.head = nil
	if bytes.HasPrefix(line, []byte("UP")) {
		c.stand()
		return
	}
	c.g.n.refused.Add(1)
	c.leave()
	hold := againAfter
	if rest, ok := bytes.CutPrefix(line, []byte("BUSY ")); ok {
		if told, err := strconv.Atoi(string(rest)); err == nil {
			hold = netloop.Micros(told) * ms
		}
	}
	c.later(hold)
}

func (c *client) stand() {
	g := c.g
	g.took = append(g.took, float64(g.l.Now()-c.due)/float64(ms))
	g.n.ups.Add(1)
	c.state, c.place = established, len(g.established)
	g.established = append(g.established, c)
	g.n.standing.Add(1)
	if g.churn {
		c.leave()
		c.dial(g.l.Now(), true)
	}
}

// leave closes the connection; lines that are open then are lost.
func (c *client) leave() {
	g := c.g
	if c.state == established {
		last := g.established[len(g.established)-1]
		g.established[c.place], last.place = last, c.place
		g.established = g.established[:len(g.established)-1]
		g.n.standing.Add(-1)
	}
	g.lost += len(c.lines)
	g.open -= len(c.lines)
	g.l.Cancel(c.retry)
	if c.state != disconnected {
		g.n.connected.Add(-1)
		c.conn.Close()
	}
	c.conn, c.lines, c.retry, c.state = nil, nil, nil, disconnected
}

// write sends one line that was due at a time, on a connection drawn by chance.
func (g *generator) write(due netloop.Micros) {
	if len(g.established) == 0 {
		g.lost++
		return
	}
	c := g.established[g.rng.IntN(len(g.established))]
	c.lines = append(c.lines, due)
	g.sent++
	g.open++
	c.conn.Write(message)
}

var message = append(bytes.Repeat([]byte("t"), lineLength-2), "\r\n"...)

// schedule calls act at moments with exponential gaps, at so many a second, until count moments or the span are over.
// It turns the loop without a pause meanwhile: the kernel's wait has whole milliseconds.
func (g *generator) schedule(rate float64, count int, span netloop.Micros, act func(due netloop.Micros)) {
	g.paced = true
	next, end := float64(g.l.Now()), g.l.Now()+span
	var turn func()
	turn = func() {
		now := g.l.Now()
		for k := 0; k < maxSendsPerTurn && count > 0 && int64(next) <= min(now, end); k++ {
			due := netloop.Micros(next)
			g.lag = append(g.lag, float64(now-due)/float64(ms))
			act(due)
			next += g.rng.ExpFloat64() * float64(sec) / rate
			count--
		}
		if g.paced = count > 0 && int64(next) <= end; g.paced {
			g.l.After(0, turn)
		}
	}
	turn()
}
