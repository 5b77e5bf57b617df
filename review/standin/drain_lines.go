//go:build review

package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"spurspread/lab/sshchan"
)

// deliveries counts the lines of updates by request: sent by its node and received by its client.
type deliveries struct {
	mu             sync.Mutex
	sent, received map[string]int
	moved          map[string]bool
}

// playDrainLines has one balancer of trinidad-main in front of nine nodes, with channels to clients and nodes. One of the
// nodes drains: it sends each client the update that it still has for it, and then sends it away. Every line before the
// MOVE has to reach its client.
func playDrainLines(b *bench) ([]string, error) {
	const (
		connections = 4  // of clients
		channels    = 10 // on each
		updateLines = 200
		lineBytes   = 1000
		clientDelay = 1100 * time.Microsecond // between client and balancer, one way
	)
	zones := []string{"chaguanas", "san-fernando", "arima"}
	site := `<spurspread xmlns="urn:spurspread:site:1" name="trinidad-main"><channels clients="true" nodes="true"/></spurspread>`
	d := &deliveries{sent: map[string]int{}, received: map[string]int{}, moved: map[string]bool{}}
	all := &attempts{}
	var nodes []*node
	var servers []server
	for i := range 9 {
		n, err := startNode(b, fmt.Sprintf("s-%d", i), all)
		if err != nil {
			return nil, err
		}
		n.channels = os.Getenv("PLAIN") != "1"
		n.setUp = 5 * time.Millisecond
		n.update = func(w io.Writer, request string) { d.sendUpdate(w, request, updateLines, lineBytes) }
		nodes = append(nodes, n)
		servers = append(servers, server{
			ID: n.id, HostPort: n.addr, Zone: zones[i/3], Kind: "standard", Cell: i / 3, State: "Ready", Weight: 1,
		})
		b.discovery.set(servers[i])
	}
	c := balancerConfig{name: "n0", listen: freeAddr(), settings: trinidad(0, 1, 0), site: site}
	if _, err := b.startBalancer(c); err != nil {
		return nil, err
	}
	link, err := startLink(c.listen, clientDelay)
	if err != nil {
		return nil, err
	}
	var clients sync.WaitGroup
	up := 0
	for range connections {
		raw, err := net.Dial("tcp", link)
		if err != nil {
			return nil, err
		}
		conn, err := sshchan.Client(raw, 64<<10)
		if err != nil {
			return nil, err
		}
		defer func() { _ = conn.Close() }()
		for range channels {
			if ch, id, err := openChannel(b, conn); err == nil {
				up++
				clients.Go(func() { d.receive(b, ch, id) })
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	if up < connections*channels*9/10 {
		return nil, fmt.Errorf("%w: only %d channels are up", errCannotRun, up)
	}
	time.Sleep(time.Second)
	first := 0
	for i, n := range nodes[:3] { // the home zone of the balancer
		if all.at(n.id) > all.at(nodes[first].id) {
			first = i
		}
	}
	if b.trouble {
		servers[first].State = "Terminating"
		b.discovery.set(servers[first])
		time.Sleep(200 * time.Millisecond)
		nodes[first].drain()
	} else { // the same update without the drain
		nodes[first].updateAll()
	}
	time.Sleep(4 * time.Second)
	return d.check(b)
}

// openChannel opens a channel and waits for its answer.
func openChannel(b *bench, conn *sshchan.Conn) (*sshchan.Channel, string, error) {
	id := newID()
	line := fmt.Sprintf("OPEN %s %s c=index-sync,d=1200,g=%s", id, newID(), newID())
	b.logf("client: channel %s", line)
	ch, err := conn.Open(line)
	if err != nil {
		return nil, id, err
	}
	select {
	case a := <-ch.Answered():
		b.logf("client: %s answered %q", id, a.Line)
		if a.Up {
			go talk(ch)
			return ch, id, nil
		}
	case <-time.After(2 * time.Second):
		b.logf("client: %s not answered", id)
	}
	return nil, id, errors.New("not up")
}

// talk sends a line every 2 s until the channel has ended, as clients do.
func talk(ch *sshchan.Channel) {
	for i := 0; ; i++ {
		time.Sleep(2 * time.Second)
		if _, err := fmt.Fprintf(ch, "line %d\r\n", i); err != nil {
			return
		}
	}
}

// sendUpdate writes an update of so many lines of this size, in one write.
func (d *deliveries) sendUpdate(w io.Writer, request string, lines, size int) {
	var text strings.Builder
	for i := range lines {
		start := fmt.Sprintf("update %d ", i)
		text.WriteString(start + strings.Repeat("x", size-len(start)-len("\r\n")) + "\r\n")
	}
	if _, err := io.WriteString(w, text.String()); err != nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent[request] = lines
}

// receive reads a channel to its end.
func (d *deliveries) receive(b *bench, ch *sshchan.Channel, id string) {
	reader := bufio.NewReader(ch)
	for {
		line, err := reader.ReadString('\n')
		if err != nil {
			_, moved := ch.Moved()
			b.logf("client: %s ended: %v, moved %v, %d lines", id, err, moved, d.count(id))
			d.mu.Lock()
			d.moved[id] = moved
			d.mu.Unlock()
			_ = ch.Close()
			return
		}
		if strings.HasPrefix(line, "update ") {
			d.mu.Lock()
			d.received[id]++
			d.mu.Unlock()
		}
	}
}

func (d *deliveries) count(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.received[id]
}

func (d *deliveries) check(b *bench) (broken []string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.sent) == 0 {
		return nil, fmt.Errorf("%w: no node sent anything", errCannotRun)
	}
	for id, sent := range d.sent {
		b.logf("%s: %d lines sent, %d received, moved %v", id, sent, d.received[id], d.moved[id])
		if d.received[id] < sent {
			broken = append(broken, fmt.Sprintf("%s: its node sent %d lines and then MOVE, its client received %d of them",
				id, sent, d.received[id]))
		}
	}
	return broken, nil
}
