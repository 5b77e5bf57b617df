// Package faultproxy is a proxy between processes that send each other datagrams, with a link for every ordered
// pair: each direction fails by itself. It loses, delays, repeats, reorders, spoils, cuts, and plays again what it
// has recorded; it knows addresses and bytes, and nothing of what they mean.
package faultproxy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"spurspread/lab/link"
	"sync"
	"time"
)

// maxRecorded datagrams of a link are kept to be played again.
const maxRecorded = 256

// Proxy is the links between some processes.
type Proxy struct {
	mu     sync.Mutex
	rng    *rand.Rand
	at     []netip.AddrPort // where each process takes datagrams
	links  [][]*pair
	wg     sync.WaitGroup
	record bool
}

// pair is the socket at which one process reaches another, and the link from the one to the other.
type pair struct {
	link.Link
	from, to int
	conn     *net.UDPConn
	kept     [][]byte
	bytes    int64
	came     int64 // bytes of what was not lost
}

// New makes links between processes that will take datagrams at these addresses.
func New(at []netip.AddrPort, seed uint64) (*Proxy, error) {
	n := &Proxy{at: at, rng: rand.New(rand.NewPCG(seed, 0x637574))}
	for a := range at {
		row := make([]*pair, len(at))
		for b := range at {
			if a == b {
				continue
			}
			c, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
			if err != nil {
				n.links = append(n.links, row)
				return nil, errors.Join(fmt.Errorf("link from %d to %d: %w", a, b, err), n.Close())
			}
			row[b] = &pair{from: a, to: b, conn: c}
		}
		n.links = append(n.links, row)
	}
	for _, row := range n.links {
		for _, p := range row {
			if p != nil {
				n.wg.Add(1)
				go n.forward(p)
			}
		}
	}
	return n, nil
}

// Via is where process a reaches process b.
func (n *Proxy) Via(a, b int) netip.AddrPort {
	return n.links[a][b].conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// forward takes what comes to one pair's socket: from the one that reaches the other there, or from the other,
// answering.
func (n *Proxy) forward(p *pair) {
	defer n.wg.Done()
	buf := make([]byte, 2048)
	for {
		size, from, err := p.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return // closed
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		is, to := p, n.at[p.to]
		if from == n.at[p.to] {
			is, to = n.links[p.to][p.from], n.at[p.from]
		}
		n.pass(p, is, to, append([]byte(nil), buf[:size]...))
	}
}

// pass has a datagram come through, or not, as the link is.
func (n *Proxy) pass(via, is *pair, to netip.AddrPort, b []byte) {
	n.mu.Lock()
	is.bytes += int64(len(b))
	if n.record && len(is.kept) < maxRecorded {
		is.kept = append(is.kept, append([]byte(nil), b...))
	}
	waits := make([]time.Duration, is.Times(n.rng))
	for i := range waits {
		waits[i] = is.Wait(n.rng)
	}
	is.Spoil(n.rng, b)
	is.came += int64(len(waits) * len(b))
	n.mu.Unlock()
	for _, d := range waits {
		if d == 0 {
			_, _ = via.conn.WriteToUDPAddrPort(b, to) // one that is not there loses it, as on any network
			continue
		}
		time.AfterFunc(d, func() { _, _ = via.conn.WriteToUDPAddrPort(b, to) })
	}
}

// Set changes the links from some to others, one way.
func (n *Proxy) Set(from, to []int, change func(*link.Link)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a != b {
				change(&n.links[a][b].Link)
			}
		}
	}
}

// Heal makes all links whole.
func (n *Proxy) Heal() {
	all := n.all()
	n.Set(all, all, func(l *link.Link) { *l = link.Link{} })
}

func (n *Proxy) all() []int {
	all := make([]int, len(n.at))
	for i := range all {
		all[i] = i
	}
	return all
}

// Cuts lists the links that are cut, as from and to.
func (n *Proxy) Cuts() map[[2]int]bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := map[[2]int]bool{}
	for a, row := range n.links {
		for b, p := range row {
			if p != nil && p.Partitioned {
				out[[2]int{a, b}] = true
			}
		}
	}
	return out
}

// Record begins to keep what passes, or ends it.
func (n *Proxy) Record(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.record = on
}

// Replay sends again, to where it went, all that was recorded, and returns how much that was.
func (n *Proxy) Replay() (count int) {
	n.mu.Lock()
	type again struct {
		p *pair
		b [][]byte
	}
	var all []again
	for _, row := range n.links {
		for _, p := range row {
			if p != nil {
				all = append(all, again{p, p.kept})
			}
		}
	}
	n.mu.Unlock()
	for _, a := range all {
		for _, b := range a.b {
			_, _ = a.p.conn.WriteToUDPAddrPort(b, n.at[a.p.to])
			count++
		}
	}
	return count
}

// Bytes is what each process has sent so far.
func (n *Proxy) Bytes() []int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]int64, len(n.at))
	for a, row := range n.links {
		for _, p := range row {
			if p != nil {
				out[a] += p.bytes
			}
		}
	}
	return out
}

// Received is what has come to each process so far.
func (n *Proxy) Received() []int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]int64, len(n.at))
	for _, row := range n.links {
		for b, p := range row {
			if p != nil {
				out[b] += p.came
			}
		}
	}
	return out
}

// Close ends all links.
func (n *Proxy) Close() error {
	var err error
	for _, row := range n.links {
		for _, p := range row {
			if p != nil {
				err = errors.Join(err, p.conn.Close())
			}
		}
	}
	n.wg.Wait()
	return err
}
