package connections

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"

	"golang.org/x/sys/unix"

	"spurspread/lab/netloop"
)

const (
	// sourceAddrs is the number of loopback addresses that the clients of one loop connect from: one address has
	// 28,000 ports, and closed connections occupy theirs for a minute.
	sourceAddrs = 8
	// maxSendsPerTurn bounds what one turn of the loop sends, so that answers are read in between.
	maxSendsPerTurn = 128
)

// totals are the counts over all generators.
type totals struct {
	requestIDs  atomic.Int64 // of first lines that were sent
	connected   atomic.Int64 // connections that are open
	established atomic.Int64 // connections that are established
	setUps      atomic.Int64 // connections that were established
	rejected    atomic.Int64 // first lines that were rejected
	closed      atomic.Int64 // connections that the balancer closed
	moved       atomic.Int64 // MOVE lines received
}

// generator is the clients of one loop. All its fields belong to the loop.
type generator struct {
	*worker
	rng      *rand.Rand
	balancer netip.AddrPort
	index    int // of the loop
	totals   *totals
	line     []byte // that clients send

	clients     []*client
	established []*client // in no order

	class          string // of first lines, as is the next
	deadlineMillis int
	churning       bool   // clients whose connection is established close it, and set it up again
	retrying       bool   // clients that were rejected, or whose connection was closed, set it up again
	source         uint32 // connections started, which take the source addresses in turn

	delayMillis []float64 // of lines and set-ups, from when each was due
	sendLag     []float64 // from when a line or set-up was due until it was sent, milliseconds
	sent        int       // lines
	pending     int       // lines that have not come back
	lost        int       // lines on connections that ended, or for which there was no connection
	scheduling  bool      // schedule has more to do
}

// connect starts a connection to the balancer from the next source address.
func (g *generator) connect() (fd int, err error) {
	fd, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	g.source++
	from := unix.SockaddrInet4{Addr: [4]byte{127, 1, byte(g.index), byte(1 + g.source%sourceAddrs)}}
	to := unix.SockaddrInet4{Addr: g.balancer.Addr().As4(), Port: int(g.balancer.Port())}
	if err := bindAndConnect(fd, &from, &to); err != nil {
		_ = unix.Close(fd)
		return -1, err
	}
	return fd, nil
}

// bindAndConnect starts a connection from an address whose port the kernel chooses when it knows the destination, so
// that connections to different destinations may share it.
func bindAndConnect(fd int, from, to *unix.SockaddrInet4) error {
	if err := unix.SetsockoptInt(fd, unix.IPPROTO_IP, unix.IP_BIND_ADDRESS_NO_PORT, 1); err != nil {
		return err
	}
	if err := unix.Bind(fd, from); err != nil {
		return err
	}
	if err := unix.Connect(fd, to); err != nil && !errors.Is(err, unix.EINPROGRESS) {
		return err
	}
	return nil
}

// disconnectAll closes the connections of all clients.
func (g *generator) disconnectAll() {
	for _, c := range g.clients {
		c.disconnect()
	}
}

// removeEstablished removes a client from the established ones; the last one takes its position.
func (g *generator) removeEstablished(c *client) {
	end := len(g.established) - 1
	last := g.established[end]
	g.established[c.position] = last
	last.position = c.position
	g.established = g.established[:end]
}

// sendLine sends one line that was due at a time, on a connection that is drawn.
func (g *generator) sendLine(due netloop.Micros) {
	if len(g.established) == 0 {
		g.lost++
		return
	}
	c := g.established[g.rng.IntN(len(g.established))]
	c.pending = append(c.pending, due)
	g.sent++
	g.pending++
	c.conn.Write(g.line)
}

// schedule calls act at times with exponential gaps, at a rate per second, until it was called count times or the
// span is over. The loop runs without a pause meanwhile: the kernel's wait has whole milliseconds.
func (g *generator) schedule(rate float64, count int, span netloop.Micros, act func(due netloop.Micros)) {
	g.scheduling = true
	next := float64(g.loop.Now())
	end := g.loop.Now() + span
	remaining := count
	isDue := func(limit netloop.Micros) bool { return remaining > 0 && netloop.Micros(next) <= limit }
	var turn func()
	turn = func() {
		now := g.loop.Now()
		for sends := 0; sends < maxSendsPerTurn && isDue(min(now, end)); sends++ {
			due := netloop.Micros(next)
			g.sendLag = append(g.sendLag, millis(now-due))
			act(due)
			next += g.rng.ExpFloat64() * float64(second) / rate
			remaining--
		}
		g.scheduling = isDue(end)
		if g.scheduling {
			g.loop.After(0, turn)
		}
	}
	turn()
}

// addClient adds a client without a connection.
func (g *generator) addClient() *client {
	c := &client{generator: g}
	g.clients = append(g.clients, c)
	return c
}

// setChurning starts or ends that clients close established connections and set them up again.
func (g *generator) setChurning(churning bool) {
	g.churning = churning
	g.retrying = churning
}

// counts returns what was counted since the last take.
func (g *generator) counts() counts {
	return counts{
		delayMillis: g.delayMillis,
		sendLag:     g.sendLag,
		sent:        g.sent,
		pending:     g.pending,
		lost:        g.lost,
		scheduling:  g.scheduling,
	}
}

// takeCounts returns what was counted since the last take, and counts anew. Pending lines stay pending.
func (g *generator) takeCounts() counts {
	taken := g.counts()
	g.delayMillis = nil
	g.sendLag = nil
	g.sent = 0
	g.lost = 0
	return taken
}
