//go:build review

package main

import (
	"fmt"
	"path/filepath"
	"syscall"
	"time"
)

// playShortFile has one balancer of trinidad-main. Its configuration is replaced by one that is short of a key, the name
// of its first class, and it gets SIGHUP. The old settings have to stay, whole: requests of that class are served.
func playShortFile(b *bench) ([]string, error) {
	const (
		each   = 20
		settle = 1200 * time.Millisecond // clients use a new class so long after SIGHUP
	)
	all := &attempts{}
	zones := []string{"chaguanas", "san-fernando", "arima"}
	for i := range 9 {
		n, err := startNode(b, fmt.Sprintf("s-%d", i), all)
		if err != nil {
			return nil, err
		}
		n.setUp, n.message = 20*time.Millisecond, time.Millisecond
		b.discovery.set(server{
			ID: n.id, HostPort: n.addr, Zone: zones[i/3], Kind: "standard", Cell: i / 3, State: "Ready", Weight: 1,
		})
	}
	c := balancerConfig{name: "n0", listen: freeAddr(), settings: trinidad(0, 1, 0)}
	p, err := b.startBalancer(c)
	if err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	defer close(stop)
	play := func() (failed []string, up int) {
		for range each {
			cl := newClient(b, c.listen)
			if cl.open() {
				up++
				go func() { _ = cl.hold(stop) }()
			} else if cl.answer == "ERR" {
				failed = append(failed, fmt.Sprintf("a request of class index-sync was answered %q", cl.answer))
			}
			time.Sleep(50 * time.Millisecond)
		}
		return failed, up
	}
	if _, up := play(); up < each*9/10 {
		return nil, fmt.Errorf("%w: only %d clients are up", errCannotRun, up)
	}
	if b.trouble {
		delete(c.settings["request_classes"].([]map[string]any)[0], "name")
	}
	if err := b.writeConfig(filepath.Join(b.dir, c.name+".json"), c); err != nil {
		return nil, err
	}
	p.signal(syscall.SIGHUP)
	time.Sleep(settle)
	failed, up := play()
	b.logf("after SIGHUP: %d up, %d answered ERR", up, len(failed))
	return failed, nil
}
