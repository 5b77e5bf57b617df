//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["rush"] = playRush }

// The rush case: new versions take over one after another while bad clients come again as soon as they are turned away.
const (
	rushUpgrades = 6
	rushBad      = 6  // machines with bad clients
	rushOpen     = 64 // connections of each
	rushStanding = 20
	// rushKill is when SIGKILL follows SIGTERM: the longest deadline and 0.7 s.
	rushKill = 2700 * time.Millisecond
)

func playRush(w *world) error {
	if _, err := startNodes(w); err != nil {
		return err
	}
	old, err := w.startBalancer(rushConfig("v0", freeAddress()))
	if err != nil {
		return err
	}
	good := newSteadyClients(w, old.listen, rushStanding)
	time.Sleep(time.Second)
	var bad atomic.Int64 // connections of bad clients
	if w.trouble {
		for range rushBad {
			go rushBadly(netip.MustParseAddrPort(old.listen), &bad)
		}
	}
	for i := range rushUpgrades {
		time.Sleep(700 * time.Millisecond)
		old, err = rushUpgrade(w, old, i+1)
		w.logf("%d connections of bad clients so far", bad.Load())
		if err != nil {
			return err
		}
		if err := good.fault(); err != nil {
			return err
		}
	}
	return nil
}

func rushConfig(name, listen string) balancerConfig {
	return balancerConfig{name: name, listen: listen, mgmt: freeAddress(), settings: smallDeployment()}
}

// rushUpgrade starts the next version beside the old one, and ends the old one as the platform does.
func rushUpgrade(w *world, old *process, number int) (*process, error) {
	c := rushConfig(fmt.Sprintf("v%d", number), old.listen)
	next, err := w.startBalancer(c)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(readyTimeout); ; time.Sleep(50 * time.Millisecond) {
		if answer, err := ask(c.mgmt, "PING\r\n"); err == nil && strings.HasPrefix(answer, "+OK") {
			break
		}
		if time.Now().After(end) {
			return nil, fmt.Errorf("%s does not say yes", c.name)
		}
	}
	start := time.Now()
	w.logf("SIGTERM to %s", old.name)
	old.signal(syscall.SIGTERM)
	select {
	case <-old.exited:
		w.logf("%s has ended after %v", old.name, time.Since(start))
	case <-time.After(rushKill):
		w.logf("SIGKILL to %s, which has not ended", old.name)
		old.kill()
	}
	time.Sleep(100 * time.Millisecond)
	return next, nil
}

// rushBadly is a machine with bad clients: they send unreadable input at full speed, leave, and come again. It has
// rushOpen connections at a time.
func rushBadly(addr netip.AddrPort, count *atomic.Int64) {
	runtime.LockOSThread()
	to := &syscall.SockaddrInet4{Port: int(addr.Port()), Addr: addr.Addr().As4()}
	input := []byte("GET / HTTP/1.1\r\n")
	open := make([]int, rushOpen)
	for i := 0; ; i = (i + 1) % len(open) {
		if open[i] > 0 {
			_ = syscall.Close(open[i])
			open[i] = 0
		}
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC|syscall.SOCK_NONBLOCK, 0)
		if err != nil {
			continue
		}
		// They leave with a reset, so that the machine does not run out of ports.
		_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
		_ = syscall.Connect(fd, to) // on a loopback address it is connected at once, or the queue is full
		_, _ = syscall.Write(fd, input)
		open[i] = fd
		count.Add(1)
	}
}

// steadyClients are usual clients with a connection each. They send a line every 200 ms, and come again when they are
// moved or refused.
type steadyClients struct {
	w    *world
	addr string

	mu   sync.Mutex
	next uint64 // id of the next connection
	err  error
}

func newSteadyClients(w *world, addr string, n int) *steadyClients {
	s := &steadyClients{w: w, addr: addr}
	for i := range n {
		go func() {
			for s.fault() == nil {
				s.connect(i)
				time.Sleep(300 * time.Millisecond)
			}
		}()
	}
	return s
}

func (s *steadyClients) fault() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// connect opens a connection, and keeps it until it is moved or broken.
func (s *steadyClients) connect(client int) {
	s.mu.Lock()
	s.next++
	id := s.next
	s.mu.Unlock()
	c, err := net.DialTimeout("tcp", s.addr, time.Second)
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	_, _ = fmt.Fprintf(c, "OPEN %016x %016x c=index-sync,d=1200\r\n", id, id*7)
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	answer, err := in.ReadString('\n')
	s.w.logf("client %d, connection %d: %q %v", client, id, answer, err)
	if !strings.HasPrefix(answer, "UP ") {
		return
	}
	for number := 0; ; number++ {
		_, _ = fmt.Fprintf(c, "line %d\r\n", number)
		_ = c.SetReadDeadline(time.Now().Add(7 * time.Second))
		line, err := in.ReadString('\n')
		switch {
		case line == "MOVE\r\n":
			s.w.logf("client %d, connection %d: moved", client, id)
			return
		case err != nil:
			s.w.logf("client %d, connection %d: LOST: %v", client, id, err)
			s.mu.Lock()
			s.err = brokenf("client %d: its connection was cut off without MOVE: %v", client, err)
			s.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}
