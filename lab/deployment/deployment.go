// Package deployment puts an emulated deployment together, on loopback: nodes, the session store, discovery, a front
// end, and real balancers, each a process of its own. It knows how the balancers are started and stopped, and nothing
// of their insides.
package deployment

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"spurspread/internal/token"
	"spurspread/lab/checker"
	"spurspread/lab/client"
	"spurspread/lab/discoveryserver"
	"spurspread/lab/frontend"
	"spurspread/lab/node"
	"spurspread/lab/packageindex"
	"spurspread/lab/store"
	"sync"
	"time"
)

// Config says what a deployment is like.
type Config struct {
	Program   string // the balancer's
	Dir       string // for its files; must exist
	SeparateTempDirs     bool   // each process has a TMPDIR of its own, and so nothing passes to a new version
	Balancers int
	Nodes     int
	Tokens    bool // the site file turns resume tokens on
	Channels  bool // and multiplexed channels, which the nodes speak, too
	MemoryMB  int  // of a balancer; 0: 192
	Seed      uint64
	Interval  time.Duration // between messages of a stream
	RetainedMessages      uint64        // messages in a node's log
	MessageBytes    int           // of a message
	StoreRate float64       // session calls a second
	SetUp     time.Duration // a node's work for a connection
	DrainPatience  time.Duration // of a draining node with clients that take tokens
	DiscoveryDelay      time.Duration // of discovery
	HealthCheckDelay    time.Duration // of the front end
	Fault     node.Fault
}

// sessionCallTimeout is how long a session call waits before it fails.
const sessionCallTimeout = 3 * time.Second

// Deployment is a deployment that runs.
type Deployment struct {
	cfg       Config
	Index     *packageindex.Index
	Check     *checker.Checker
	Store     *store.Store
	Discovery *discoveryserver.Server
	Nodes     []*node.Node
	Balancers []*Balancer
	Frontend  *frontend.Frontend
	keys      []token.Key
	site      string
	Dials     EventTimes // connections that clients made
	NodeDials EventTimes // and that nodes took
	ctx       context.Context
	stop      context.CancelFunc
	clients   sync.WaitGroup
}

// EventTimes are the times at which something happened.
type EventTimes struct {
	mu sync.Mutex
	times []time.Time
}

func (m *EventTimes) record() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.times = append(m.times, time.Now())
}

// Between tells how often it happened from one time to another.
func (m *EventTimes) Between(from, to time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, t := range m.times {
		if !t.Before(from) && t.Before(to) {
			n++
		}
	}
	return n
}

// Start starts all but the clients, and waits until the front end has all balancers. Once the context is done,
// waits end.
func Start(ctx context.Context, cfg Config) (*Deployment, error) {
	w := &Deployment{
		cfg: cfg,
		Index: &packageindex.Index{
			Epoch:    time.Now().Add(-time.Minute),
			Interval: cfg.Interval,
			Keep:     cfg.RetainedMessages,
			Length:   cfg.MessageBytes,
		},
	}
	w.Check = checker.New(w.Index)
	w.ctx, w.stop = context.WithCancel(ctx)
	if err := w.start(); err != nil {
		w.Stop()
		return nil, err
	}
	return w, nil
}

func (w *Deployment) start() error {
	var err error
	if err = w.writeSiteFiles(); err != nil {
		return err
	}
	if w.Store, err = store.Start(w.cfg.StoreRate, sessionCallTimeout); err != nil {
		return err
	}
	if w.Discovery, err = discoveryserver.Start(w.cfg.DiscoveryDelay); err != nil {
		return err
	}
	for i := range w.cfg.Nodes {
		n, err := w.startNode(i, "", true)
		if err != nil {
			return err
		}
		w.Nodes = append(w.Nodes, n)
		w.announce(i, discoveryserver.Ready)
	}
	var addrs []string
	for i := range w.cfg.Balancers {
		b := &Balancer{deployment: w, rank: i, listen: "127.0.0.1:0"}
		w.Balancers = append(w.Balancers, b)
		if err := b.Start(); err != nil {
			return err
		}
		addrs = append(addrs, b.Addr())
	}
	if w.Frontend, err = frontend.Start(w.cfg.HealthCheckDelay, addrs...); err != nil {
		return err
	}
	return w.Await(10*time.Second, "the balancers answer the front end", func() bool {
		return w.Frontend.Healthy() == w.cfg.Balancers
	})
}

// Await waits until a condition holds; past the limit it is an error that says what did not come.
func (w *Deployment) Await(most time.Duration, what string, holds func() bool) error {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return nil
		}
		if err := w.ctx.Err(); err != nil {
			return err
		}
	}
	return fmt.Errorf("after %v: not yet that %s", most, what)
}

// writeSiteFiles writes the key file and the site file.
func (w *Deployment) writeSiteFiles() error {
	if !w.cfg.Tokens && !w.cfg.Channels {
		return nil
	}
	text := `<spurspread xmlns="urn:spurspread:site:1" name="lab">` + "\n"
	if w.cfg.Channels {
		text += `<channels most="1024" opens="2000/s"><trunks channels="1024"/></channels>` + "\n"
	}
	var err error
	if w.cfg.Tokens {
		var secret [32]byte
		_, _ = rand.Read(secret[:]) // never fails
		w.keys = []token.Key{{Secret: secret, Issues: true}}
		err = os.WriteFile(filepath.Join(w.cfg.Dir, "key"), []byte(hex.EncodeToString(secret[:])), 0o600)
		text += `<resume><keys><key id="lab" file="key" use="mint"/></keys></resume>` + "\n"
	}
	w.site = filepath.Join(w.cfg.Dir, "site.xml")
	return errors.Join(err, os.WriteFile(w.site, []byte(text+"</spurspread>\n"), 0o600))
}

// NodeID is how discovery calls a node.
func NodeID(i int) string { return fmt.Sprintf("s-%08x", 0x5be2a07c+i*0x01010101) }

func (w *Deployment) startNode(i int, addr string, longAgo bool) (*node.Node, error) {
	return node.Start(node.Config{
		ID: NodeID(i), Addr: addr, StartedLongAgo: longAgo, Index: w.Index, Sink: w.Check,
		Store: w.Store.Addr(), Keys: w.keys, SetUp: w.cfg.SetUp, Patience: w.cfg.DrainPatience, Fault: w.cfg.Fault,
		Channels: w.cfg.Channels, OnAccept: func() { w.NodeDials.record() },
	})
}

// announce tells discovery how a node stands, and returns the change's generation.
func (w *Deployment) announce(i int, state string) uint64 {
	return w.Discovery.Set(discoveryserver.Entry{
		ID: NodeID(i), Addr: w.Nodes[i].Addr(), Zone: "a", Machine: "m", Lifecycle: state,
		Weight: 1, Started: w.Nodes[i].StartedMillis(),
	})
}

// Drain drains a node, as an operator would, and returns when the first balancer was told.
func (w *Deployment) Drain(i int) (told time.Time, err error) {
	w.Nodes[i].Drain()
	g := w.announce(i, discoveryserver.Terminating)
	err = w.Await(
		5*time.Second,
		"discovery has told a balancer",
		func() bool { return !w.Discovery.AnnouncedAt(g).IsZero() },
	)
	return w.Discovery.AnnouncedAt(g), err
}

// KillNode ends a node's process. Discovery learns of it when it lists it next.
func (w *Deployment) KillNode(i int) { w.Nodes[i].Kill() }

// ListGone lists a node as gone.
func (w *Deployment) ListGone(i int) { w.announce(i, discoveryserver.Gone) }

// RestartNode starts a killed node under its id and address, with nothing, and lists it.
func (w *Deployment) RestartNode(i int) error {
	n, err := w.startNode(i, w.Nodes[i].Addr(), false)
	if err != nil {
		return err
	}
	w.Nodes[i] = n
	w.announce(i, discoveryserver.Ready)
	return nil
}

// StartClient adds a client and lets it run until the world stops.
func (w *Deployment) StartClient(cfg client.Config) *client.Client {
	cfg.Sink = w.Check
	if cfg.Link == nil {
		cfg.Link = client.DedicatedLink{Addr: w.Frontend.Addr(), OnDial: w.Dials.record}
	}
	c := client.New(cfg)
	w.clients.Add(1)
	go func() {
		defer w.clients.Done()
		c.Run(w.ctx)
	}()
	return c
}

// SharedLink is a connection with channels to the front end, for several clients.
func (w *Deployment) SharedLink() *client.SharedLink {
	return &client.SharedLink{Addr: w.Frontend.Addr(), Window: clientWindowBytes, OnDial: w.Dials.record}
}

// clientWindowBytes is what clients grant on each channel.
const clientWindowBytes = 64 << 10

// Addrs are where the balancers listen.
func (w *Deployment) Addrs() []string {
	var out []string
	for _, b := range w.Balancers {
		out = append(out, b.Addr())
	}
	return out
}

// StopClients ends the clients only.
func (w *Deployment) StopClients() {
	w.stop()
	w.clients.Wait()
}

// Stop ends all of it. Only processes and listeners that the world started are ended.
func (w *Deployment) Stop() {
	w.StopClients()
	if w.Frontend != nil {
		_ = w.Frontend.Close()
	}
	for _, b := range w.Balancers {
		b.Kill()
	}
	for _, n := range w.Nodes {
		n.Kill()
	}
	if w.Discovery != nil {
		_ = w.Discovery.Close()
	}
	if w.Store != nil {
		_ = w.Store.Close()
	}
}

// balancerConfig is what the platform would tell a balancer.
func (w *Deployment) balancerConfig(b *Balancer) map[string]any {
	class := func(name string, aim, deadline time.Duration, worth float64) map[string]any {
		return map[string]any{
			"name": name, "slo": aim.Microseconds(), "deadline": deadline.Microseconds(), "effect": "read_like",
			"streaming": true, "worth": worth,
		}
	}
	return map[string]any{
		"name": fmt.Sprint("n", b.rank), "listen": b.listen, "mgmt": b.managementAddr, "discovery": w.Discovery.Addr(),
		"seed":   fmt.Sprintf("%x", w.cfg.Seed*1000+uint64(b.rank*100+b.starts)),
		"limits": map[string]any{"cores": 1, "memory_mb": cmp.Or(w.cfg.MemoryMB, 192), "sockets": 8192},
		"known":  w.Discovery.FullList(),
		"settings": map[string]any{
			"balancers": w.cfg.Balancers, "rank": b.rank, "zone": 0, "dcs": []string{"a"}, "skus": []string{"m"},
			"discovery": "ask",
			"limits": map[string]any{
				"most_tries": 4, "probes": true, "may_cancel": true, "retry_after": true,
				"max_retry_after": 1_000_000, "connect_timeout": 75_000,
			},
			"rules": map[string]any{
				"answer_slack": 8000, "ask_every": 10_000_000, "cold": 23_000_000, "cold_from": 0.13,
				"drain_grace": 2_500_000, "overload_factor": 3, "tip_after": 1_000_000,
			},
			"request_classes": []any{
				class(IndexSync, 300*time.Millisecond, Deadline, 5),
				class(MetadataWatch, 500*time.Millisecond, 2*time.Second, 1),
			},
			"specifics": map[string]any{
				"mode": "proxy", "groups": true, "message_aim": []float64{250_000, 50_000},
				"tells_delay": true, "tells_load": false,
			},
			"tenants": []any{},
		},
	}
}

// The classes, and how long a client of the first waits.
const (
	IndexSync     = "index-sync"
	MetadataWatch = "metadata-watch"
	Deadline      = 1200 * time.Millisecond
)
