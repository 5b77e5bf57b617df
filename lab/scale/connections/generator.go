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
	// sourceAddrs is the number of loopback addresses from which the clients of one loop connect: one address has
	// 28,000 ports, and closed connections occupy theirs for a minute.
	sourceAddrs = 8
	// maxSendsPerTurn limits the sends in one turn of the loop, so that answers are read in between.
	maxSendsPerTurn = 128
)

// totals are the counts over all generators.
type totals struct {
	requestIDs  atomic.Int64 // last ID assigned to a first line
	connected   atomic.Int64 // connections that are open now
	established atomic.Int64 // connections that are established now
	setUps      atomic.Int64 // connections established since the start
	rejected    atomic.Int64 // first lines that were rejected
	closed      atomic.Int64 // connections that the balancer closed
	moved       atomic.Int64 // MOVE lines received
}

// generator runs the clients of one loop. All its fields are used only on the loop.
type generator struct {
	*worker
	rng      *rand.Rand
	balancer netip.AddrPort
	index    int // index of the loop, which selects the source addresses
	totals   *totals
	line     []byte // line that clients send

	clients     []*client
	established []*client // in no order

	class          string // in first lines, like deadlineMillis
	deadlineMillis int
	churning       bool   // whether clients close a connection once it is established, and set up a new one
	retrying       bool   // whether clients that were rejected, or whose connection was closed, set it up again
	source         uint32 // number of connections started; selects the source address in turn

	delayMillis []float64 // delays of lines and set-ups, each from when it was due
	sendLag     []float64 // lags of sends, each from when a line or set-up was due until it was sent, in milliseconds
	sent        int       // number of lines
	pending     int       // lines whose echo has not been received
	lost        int       // lines on connections that were closed, or for which there was no connection
	scheduling  bool      // whether schedule has not finished
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

// bindAndConnect starts a connection from an address. The kernel chooses the port when it knows the destination, so
// that connections to different destinations may share a port.
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

// removeEstablished removes a client from the established ones. The last one takes its position.
func (g *generator) removeEstablished(c *client) {
	end := len(g.established) - 1
	last := g.established[end]
	g.established[c.position] = last
	last.position = c.position
	g.established = g.established[:end]
}

// sendLine sends a line that was due at a time, on an established connection that is drawn at random.
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

// schedule calls act at times with exponentially distributed gaps, at a rate per second, until it has been called count
// times or the span has ended. The loop polls without blocking during that, since the kernel's wait has a resolution of
// a millisecond.
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

// setChurning sets whether clients close established connections and set them up again.
func (g *generator) setChurning(churning bool) {
	g.churning = churning
	g.retrying = churning
}

// counts returns the counts since the last takeCounts.
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

// takeCounts returns the counts and resets them, except for pending lines.
func (g *generator) takeCounts() counts {
	taken := g.counts()
	g.delayMillis = nil
	g.sendLag = nil
	g.sent = 0
	g.lost = 0
	return taken
}
