//go:build review

package main

import (
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// playChannelCopies has three balancers of trinidad-main in front of nine nodes, spread unevenly over the sites, with
// channels to the nodes. Two of the nodes run 8.4 times slower for 20 s. No request may have two attempts out at once.
func playChannelCopies(b *bench) ([]string, error) {
	const (
		balancers = 3
		cell      = 3                     // nodes in a cell
		setUp     = 90 * time.Millisecond // a third of the 300 ms that are wanted
		message   = 1 * time.Millisecond  // of the 50 ms that are wanted
		interval  = time.Second * 10 / 39 // between two new connections
		slower    = 8.4
	)
	sites := []string{
		"chaguanas", "chaguanas", "chaguanas", "chaguanas", "san-fernando", "san-fernando", "san-fernando", "arima", "arima",
	}
	site := `<spurspread xmlns="urn:spurspread:site:1" name="trinidad-main"><channels nodes="true"/></spurspread>`
	if os.Getenv("PLAIN") == "1" { // for comparison: the same without channels
		site = ""
	}
	all := &attempts{}
	var nodes []*node
	for i, zone := range sites {
		n, err := startNode(b, fmt.Sprintf("s-%d", i), all)
		if err != nil {
			return nil, err
		}
		n.channels, n.setUp, n.message = true, setUp, message
		nodes = append(nodes, n)
		b.discovery.set(server{
			ID: n.id, HostPort: n.addr, Zone: zone, Kind: "standard", Cell: i / cell, State: "Ready", Weight: 1,
		})
	}
	var addrs []string
	for i := range balancers {
		c := balancerConfig{name: fmt.Sprintf("n%d", i), listen: freeAddr(), settings: trinidad(i, balancers, i), site: site}
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
			opened++
			clients.Go(func() {
				if c.open() {
					up.Add(1)
					_ = c.hold(stop)
				}
			})
		}
	}
	slow := func(times float64) {
		if b.trouble {
			nodes[0].slow(times)
			nodes[4].slow(times)
		}
	}
	traffic(10 * time.Second)
	slow(slower)
	traffic(20 * time.Second)
	slow(0)
	traffic(3 * time.Second)
	close(stop)
	clients.Wait()
	b.logf("%d requests, %d up", opened, up.Load())
	if int(up.Load()) < opened/2 {
		return nil, fmt.Errorf("%w: only %d of %d requests were served", errCannotRun, up.Load(), opened)
	}
	return secondCopies(all), nil
}

// slack is by how much every time limit is longer on sockets (PROTOCOL).
const slack = 50 * time.Millisecond

// secondCopies returns the attempts that came to a node while an earlier attempt of the same request was out at another
// one, and still was slack later.
func secondCopies(all *attempts) (broken []string) {
	all.mu.Lock()
	defer all.mu.Unlock()
	byRequest := map[string][]*attempt{}
	for _, one := range all.all {
		for _, earlier := range byRequest[one.request] {
			if !earlier.over.IsZero() && earlier.over.Before(one.received.Add(slack)) {
				continue
			}
			out := "still out at the end"
			if !earlier.over.IsZero() {
				out = fmt.Sprintf("out for %v more", earlier.over.Sub(one.received).Round(time.Millisecond))
			}
			if !earlier.up.IsZero() {
				out += ", and it ran"
			}
			broken = append(broken, fmt.Sprintf("request %s came to %s while its attempt at %s was %s",
				one.request, one.node, earlier.node, out))
		}
		byRequest[one.request] = append(byRequest[one.request], one)
	}
	return broken
}
