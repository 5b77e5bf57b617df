// Package faultproxy is a proxy for datagrams between processes, with a lab/link for each ordered pair: each
// direction fails by itself. It loses, delays, duplicates, reorders, corrupts and partitions, and replays what it has
// recorded. It knows addresses and bytes, and must not know what they mean.
package faultproxy

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"spurspread/lab/link"
)

const (
	// maxRecorded datagrams of a link are recorded for Replay.
	maxRecorded = 256
	// maxDatagram bytes of a datagram are forwarded.
	maxDatagram = 2048
	// linkStream selects the random sequence of the links; other users of the seed select others.
	linkStream = 0x637574
)

// Proxy has the links between some processes, which are numbered by their addresses. Its methods may be called from
// any goroutine.
type Proxy struct {
	addrs []netip.AddrPort // where each process receives datagrams
	links [][]*proxyLink   // by sender and receiver; nil from a process to itself
	wg    sync.WaitGroup

	mu        sync.Mutex // of the links' state, too
	rng       *rand.Rand
	recording bool
}

// proxyLink is the link from one process to another, and the socket at which the first reaches the second.
type proxyLink struct {
	link.Link
	from, to       int
	conn           *net.UDPConn
	recorded       [][]byte
	sentBytes      int64
	deliveredBytes int64 // of the datagrams that were not lost
}

// New makes links between processes that will receive datagrams at these addresses. The seed is that of the links'
// random draws.
func New(addrs []netip.AddrPort, seed uint64) (*Proxy, error) {
	p := &Proxy{addrs: addrs, rng: rand.New(rand.NewPCG(seed, linkStream))}
	for from := range addrs {
		row, err := p.listenFrom(from)
		p.links = append(p.links, row)
		if err != nil {
			return nil, errors.Join(err, p.Close())
		}
	}
	p.forEachLink(func(l *proxyLink) {
		p.wg.Add(1)
		go p.forward(l)
	})
	return p, nil
}

// listenFrom opens the sockets at which one process reaches the others. After an error it has those that were opened.
func (p *Proxy) listenFrom(from int) ([]*proxyLink, error) {
	row := make([]*proxyLink, len(p.addrs))
	for to := range p.addrs {
		if from == to {
			continue
		}
		conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		if err != nil {
			return row, fmt.Errorf("link from %d to %d: %w", from, to, err)
		}
		row[to] = &proxyLink{from: from, to: to, conn: conn}
	}
	return row, nil
}

// forEachLink calls a function with each link, by senders and then receivers.
func (p *Proxy) forEachLink(do func(l *proxyLink)) {
	for _, row := range p.links {
		for _, l := range row {
			if l != nil {
				do(l)
			}
		}
	}
}

// LinkAddr is the address at which one process reaches another.
func (p *Proxy) LinkAddr(from, to int) netip.AddrPort {
	return p.links[from][to].conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// forward forwards what comes to a link's socket until it is closed: from the link's sender, and the answers of its
// receiver, which are sent over the opposite link.
func (p *Proxy) forward(l *proxyLink) {
	defer p.wg.Done()
	buf := make([]byte, maxDatagram)
	for {
		size, source, err := l.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		datagram := slices.Clone(buf[:size])
		if netip.AddrPortFrom(source.Addr().Unmap(), source.Port()) == p.addrs[l.to] {
			p.transmit(l.conn, p.links[l.to][l.from], datagram)
		} else {
			p.transmit(l.conn, l, datagram)
		}
	}
}

// transmit sends a datagram from a socket to the receiver of a link, as the link's state has it.
func (p *Proxy) transmit(conn *net.UDPConn, l *proxyLink, datagram []byte) {
	p.mu.Lock()
	l.sentBytes += int64(len(datagram))
	if p.recording && len(l.recorded) < maxRecorded {
		l.recorded = append(l.recorded, slices.Clone(datagram))
	}
	waits := make([]time.Duration, l.DrawCopies(p.rng))
	for i := range waits {
		waits[i] = l.DrawDelay(p.rng)
	}
	l.Corrupt(p.rng, datagram)
	l.deliveredBytes += int64(len(waits) * len(datagram))
	p.mu.Unlock()
	// A datagram to a process that does not run is lost, as in any network.
	send := func() { _, _ = conn.WriteToUDPAddrPort(datagram, p.addrs[l.to]) }
	for _, wait := range waits {
		if wait == 0 {
			send()
		} else {
			time.AfterFunc(wait, send)
		}
	}
}

// UpdateLinks changes the links from some processes to others, one way.
func (p *Proxy) UpdateLinks(from, to []int, change func(*link.Link)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if a != b {
				change(&p.links[a][b].Link)
			}
		}
	}
}

// Heal resets all links: they lose and delay nothing.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forEachLink(func(l *proxyLink) { l.Link = link.Link{} })
}

// Partitioned lists the links that are partitioned, as from and to.
func (p *Proxy) Partitioned() map[[2]int]bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	partitioned := map[[2]int]bool{}
	p.forEachLink(func(l *proxyLink) {
		if l.Partitioned {
			partitioned[[2]int{l.from, l.to}] = true
		}
	})
	return partitioned
}

// SetRecording begins to record datagrams, or ends it.
func (p *Proxy) SetRecording(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recording = on
}

// Replay sends all recorded datagrams again to their receivers, without loss or delay, and returns how many these
// were.
func (p *Proxy) Replay() (count int) {
	p.mu.Lock()
	recorded := map[*proxyLink][][]byte{}
	p.forEachLink(func(l *proxyLink) { recorded[l] = l.recorded })
	p.mu.Unlock()
	p.forEachLink(func(l *proxyLink) {
		for _, datagram := range recorded[l] {
			_, _ = l.conn.WriteToUDPAddrPort(datagram, p.addrs[l.to])
			count++
		}
	})
	return count
}

// SentBytes is what each process has sent so far.
func (p *Proxy) SentBytes() []int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sent := make([]int64, len(p.addrs))
	p.forEachLink(func(l *proxyLink) { sent[l.from] += l.sentBytes })
	return sent
}

// DeliveredBytes is what was delivered to each process so far.
func (p *Proxy) DeliveredBytes() []int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	delivered := make([]int64, len(p.addrs))
	p.forEachLink(func(l *proxyLink) { delivered[l.to] += l.deliveredBytes })
	return delivered
}

// Close ends all links, and waits until nothing is forwarded any more.
func (p *Proxy) Close() error {
	var errs []error
	p.forEachLink(func(l *proxyLink) { errs = append(errs, l.conn.Close()) })
	p.wg.Wait()
	return errors.Join(errs...)
}
