// Package faultproxy is a proxy for datagrams between processes. Proxy has a lab/link for each ordered pair of
// processes, so that the two directions between two processes fail independently. It loses, delays, duplicates,
// reorders and corrupts datagrams, partitions links, and replays recorded datagrams. It must not interpret the
// datagrams.
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
	// maxRecorded is the number of datagrams that are recorded of each link.
	maxRecorded = 256
	// maxDatagram is the size of the receive buffer, in bytes; longer datagrams are truncated.
	maxDatagram = 2048
	// linkStream selects the random sequence of the links; other users of the seed select others.
	linkStream = 0x637574
)

// Proxy forwards datagrams between processes, which are numbered in the order of their addresses. Its methods may be
// called from any goroutine.
type Proxy struct {
	addrs []netip.AddrPort // by process: where it receives datagrams
	links [][]*proxyLink   // by sender and receiver; nil for the same process
	wg    sync.WaitGroup

	mu        sync.Mutex // also guards the state of links
	rng       *rand.Rand
	recording bool
}

// proxyLink is the link from one process to another. The sender reaches the receiver at the address of its socket.
type proxyLink struct {
	link.Link
	from, to       int
	conn           *net.UDPConn
	recorded       [][]byte
	sentBytes      int64
	deliveredBytes int64 // of the datagrams that were not lost
}

// New returns a proxy between processes that receive datagrams at the given addresses. The processes need not run yet.
// seed is that of the links' random source.
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

// listenFrom opens the sockets at which one process reaches the others. After an error it also returns those that it
// has opened.
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

// forEachLink calls a function for each link, in the order of senders, then receivers.
func (p *Proxy) forEachLink(do func(l *proxyLink)) {
	for _, row := range p.links {
		for _, l := range row {
			if l != nil {
				do(l)
			}
		}
	}
}

// LinkAddr returns the address at which one process reaches another through the proxy.
func (p *Proxy) LinkAddr(from, to int) netip.AddrPort {
	return p.links[from][to].conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// forward forwards the datagrams that a link's socket receives, until it is closed. Datagrams from the link's receiver
// are answers, and are sent over the opposite link.
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

// transmit sends a datagram to the receiver of a link, with the faults that the link draws. The source is conn's
// address.
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
	// Errors are ignored: a datagram to a process that does not run is lost, as in any network.
	send := func() { _, _ = conn.WriteToUDPAddrPort(datagram, p.addrs[l.to]) }
	for _, wait := range waits {
		if wait == 0 {
			send()
		} else {
			time.AfterFunc(wait, send)
		}
	}
}

// UpdateLinks applies a change to the links from some processes to others, in this direction only.
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

// Heal resets all links: they neither lose nor delay datagrams.
func (p *Proxy) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forEachLink(func(l *proxyLink) { l.Link = link.Link{} })
}

// Partitioned returns the links that are partitioned, as pairs of sender and receiver.
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

// SetRecording sets whether datagrams are recorded for Replay.
func (p *Proxy) SetRecording(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.recording = on
}

// Replay sends all recorded datagrams to their receivers again, without loss or delay, and returns their number.
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

// SentBytes returns the number of bytes that each process has sent.
func (p *Proxy) SentBytes() []int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	sent := make([]int64, len(p.addrs))
	p.forEachLink(func(l *proxyLink) { sent[l.from] += l.sentBytes })
	return sent
}

// DeliveredBytes returns the number of bytes of the datagrams to each process that were not lost.
func (p *Proxy) DeliveredBytes() []int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	delivered := make([]int64, len(p.addrs))
	p.forEachLink(func(l *proxyLink) { delivered[l.to] += l.deliveredBytes })
	return delivered
}

// Close closes the sockets of all links, and waits for the goroutines that forward datagrams.
func (p *Proxy) Close() error {
	var errs []error
	p.forEachLink(func(l *proxyLink) { errs = append(errs, l.conn.Close()) })
	p.wg.Wait()
	return errors.Join(errs...)
}
