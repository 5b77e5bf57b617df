//go:build review

package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// playCrowdedDrain has three balancers of hq-live-feed in front of ten nodes. Discovery is crowded: a call waits 1.7 s for
// its turn, and then is answered. Some seconds later one of the nodes drains. Nothing new may reach it once the balancers
// count as told, and the grace is over.
func playCrowdedDrain(b *bench) ([]string, error) {
	const (
		balancers = 3
		wait      = 1700 * time.Millisecond // of the 2 s after which a call fails (timeout_ms)
		toldAfter = 6 * time.Second         // after discovery has a change and can be reached
		grace     = 300 * time.Millisecond  // drain_grace_ms
		interval  = time.Second * 10 / 39   // between two new connections
		load      = 60000                   // of a connection: some 16 fill a core
	)
	sites := []string{
		"ulaanbaatar", "ulaanbaatar", "ulaanbaatar", "ulaanbaatar", "darkhan", "darkhan", "darkhan", "erdenet", "erdenet", "erdenet",
	}
	all := &attempts{}
	var nodes []*node
	var servers []server
	for i, zone := range sites {
		n, err := startNode(b, fmt.Sprintf("s-%d", i), all)
		if err != nil {
			return nil, err
		}
		n.setUp, n.message, n.load = 20*time.Millisecond, 5*time.Millisecond, load
		nodes = append(nodes, n)
		servers = append(servers, server{
			ID: n.id, HostPort: n.addr, Zone: zone, Kind: "new-box", Cell: i / 5, State: "Ready", Weight: 2,
		})
		b.discovery.set(servers[i])
	}
	if b.trouble {
		b.discovery.crowd(wait)
	}
	var addrs []string
	for i := range balancers {
		c := balancerConfig{name: fmt.Sprintf("n%d", i), listen: freeAddr(), settings: headquarters(i, balancers, i)}
		if _, err := b.startBalancer(c); err != nil {
			return nil, err
		}
		addrs = append(addrs, c.listen)
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	var up atomic.Int32
	opened := 0
	traffic := func(span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(interval) {
			c := newClient(b, addrs[opened%balancers])
			c.class, c.wait = "order-status", 3*time.Second
			opened++
			clients.Go(func() {
				if c.open() {
					up.Add(1)
					_ = c.hold(stop)
				}
			})
		}
	}
	traffic(10 * time.Second)
	const draining = 0
	servers[draining].State = "Terminating"
	b.discovery.set(servers[draining])
	nodes[draining].drain()
	told := time.Now().Add(toldAfter)
	traffic(30 * time.Second)
	close(stop)
	clients.Wait()
	b.logf("%d requests, %d up", opened, up.Load())
	if int(up.Load()) < opened/2 {
		return nil, fmt.Errorf("%w: only %d of %d requests were served", errCannotRun, up.Load(), opened)
	}
	return sentAfter(all, nodes[draining].id, told, told.Add(grace+slack)), nil
}

// sentAfter returns the attempts that came to a node after the end of the grace.
func sentAfter(all *attempts, node string, told, end time.Time) (broken []string) {
	all.mu.Lock()
	defer all.mu.Unlock()
	for _, one := range all.all {
		if one.node == node && one.received.After(end) {
			broken = append(broken, fmt.Sprintf("request %s came to the draining %s %v after the latest time of being told",
				one.request, node, one.received.Sub(told).Round(time.Millisecond)))
		}
	}
	return broken
}
