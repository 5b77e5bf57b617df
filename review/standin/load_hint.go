//go:build review

package main

import (
	"fmt"
	"net"
	"time"
)

// playLoadHint has one balancer with the settings of hq-live-feed, where nodes tell the load of connections. One client
// sends a first line with a huge guess at its load. It tells how many of the clients after it are served. No rule of the
// pages is checked: it shows an observation of the report.
func playLoadHint(b *bench) ([]string, error) {
	const each = 40
	all := &attempts{}
	zones := []string{"ulaanbaatar", "darkhan", "erdenet"}
	for i := range 9 {
		n, err := startNode(b, fmt.Sprintf("s-%d", i), all)
		if err != nil {
			return nil, err
		}
		n.setUp, n.message, n.load = 20*time.Millisecond, 5*time.Millisecond, 60000
		b.discovery.set(server{
			ID: n.id, HostPort: n.addr, Zone: zones[i/3], Kind: "new-box", Cell: i / 5, State: "Ready", Weight: 2,
		})
	}
	c := balancerConfig{name: "n0", listen: freeAddr(), settings: headquarters(0, 1, 0)}
	if _, err := b.startBalancer(c); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	defer close(stop)
	play := func() (up int) {
		for range each {
			cl := newClient(b, c.listen)
			cl.class = "order-status"
			if cl.open() {
				up++
				go func() { _ = cl.hold(stop) }()
			}
		}
		return up
	}
	before := play()
	if b.trouble {
		conn, err := net.Dial("tcp", c.listen)
		if err != nil {
			return nil, err
		}
		line := fmt.Sprintf("OPEN %s %s c=order-status,d=1200,g=%s,h=1000000000", newID(), newID(), newID())
		b.logf("one client: %s", line)
		_, _ = fmt.Fprintf(conn, "%s\r\n", line)
		time.Sleep(time.Second)
		_ = conn.Close()
	}
	after := play()
	b.logf("served of %d: before %d, after %d", each, before, after)
	fmt.Printf("served of %d: before %d, after %d\n", each, before, after)
	if after < before/2 {
		return []string{"one client's guess at its load has the balancer refuse the others"}, nil
	}
	return nil, nil
}
