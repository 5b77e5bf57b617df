// Package deployment runs an emulated deployment on loopback: nodes, the session store, discovery, a front end, and
// real balancers, each in its own process. Start starts it, methods of Deployment drain, kill and restart single
// parts, and Stop ends everything that was started. The package knows how balancers are configured, started and
// stopped. It must not know their internals: they are observed only by their sockets, logs and memory.
package deployment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"spurspread/internal/token"
	"spurspread/lab/checker"
	"spurspread/lab/client"
	"spurspread/lab/discoveryserver"
	"spurspread/lab/frontend"
	"spurspread/lab/node"
	"spurspread/lab/packageindex"
	"spurspread/lab/recorder"
	"spurspread/lab/store"
)

const (
	// sessionCallTimeout is the time that a call may wait at the session store before it fails.
	sessionCallTimeout = 3 * time.Second
	// frontendTimeout bounds the time until the front end finds all balancers healthy.
	frontendTimeout = 10 * time.Second
	// announceTimeout bounds the time until discovery has sent a drain to the first balancer.
	announceTimeout = 5 * time.Second
	// pollInterval is the pause between two checks of an awaited condition.
	pollInterval = 5 * time.Millisecond
	// indexAge is the age of the package index at the start, so that streams have a backlog.
	indexAge = time.Minute
	// clientWindowBytes is the receive window that clients grant on each channel.
	clientWindowBytes = 64 << 10
)

// The request classes of the balancers, and the deadline of IndexSync.
const (
	IndexSync         = "index-sync"
	MetadataWatch     = "metadata-watch"
	IndexSyncDeadline = 1200 * time.Millisecond
)

// Config describes a deployment. Program, Dir, Balancers, Nodes and Interval must be set.
type Config struct {
	Program          string // path of the balancer's executable
	Dir              string // an existing folder for its files
	SeparateTempDirs bool   // each process has its own TMPDIR, so that an upgrade can't hand connections over
	Balancers        int
	Nodes            int
	Tokens           bool // the site file enables resume tokens, and the nodes have the key
	Channels         bool // the site file enables multiplexed channels, and the nodes accept them
	PlatformLimits   bool // descriptors and channels are limited as on the platform, not as large runs need
	Seed             uint64
	Interval         time.Duration // between two messages of a stream
	RetainedMessages uint64        // messages of each stream that a node's log retains
	MessageBytes     int           // length of a message
	StoreRate        float64       // session calls that the store serves per second
	SetUpTime        time.Duration // time that a node takes to set up a connection
	DrainPatience    time.Duration // from a node's drain until it moves clients that take tokens
	DiscoveryDelay   time.Duration // from a change until discovery publishes it
	HealthCheckDelay time.Duration // from a balancer's death until the front end stops using it
	Fault            node.Fault    // injected into the nodes; "": none
}

// Deployment is a running deployment. Its parts may be used at any time after Start; its methods must be called from a
// single goroutine.
type Deployment struct {
	Index       *packageindex.Index
	Checker     *checker.Checker // checks the lines that clients and nodes send and receive
	Store       *store.Store
	Discovery   *discoveryserver.Server
	Nodes       []*node.Node
	Balancers   []*Balancer
	Frontend    *frontend.Frontend
	ClientDials EventTimes // connections that clients made through the front end
	NodeDials   EventTimes // connections that nodes accepted

	cfg      Config
	recorder *recorder.Recorder // of all clients and nodes, with Checker as its sink
	keys     []token.Key
	sitePath string // path of the site file; "": none
	ctx      context.Context
	stop     context.CancelFunc
	clients  sync.WaitGroup
}

// Start starts all parts but the clients, and waits until the front end finds all balancers healthy. Once the context
// is done, the clients end and Await returns the context's error. If Start fails it leaves nothing running.
func Start(ctx context.Context, cfg Config) (*Deployment, error) {
	d := &Deployment{
		cfg: cfg,
		Index: &packageindex.Index{
			Epoch:            time.Now().Add(-indexAge),
			Interval:         cfg.Interval,
			RetainedMessages: cfg.RetainedMessages,
			MessageBytes:     cfg.MessageBytes,
		},
	}
	d.Checker = checker.New(d.Index)
	d.recorder = recorder.New(d.Checker)
	d.ctx, d.stop = context.WithCancel(ctx)
	if err := d.start(); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start() error {
	var err error
	if err = d.writeSiteFiles(); err != nil {
		return err
	}
	if d.Store, err = store.Start(d.cfg.StoreRate, sessionCallTimeout); err != nil {
		return err
	}
	if d.Discovery, err = discoveryserver.Start(d.cfg.DiscoveryDelay); err != nil {
		return err
	}
	if err = d.startNodes(); err != nil {
		return err
	}
	if err = d.startBalancers(); err != nil {
		return err
	}
	if d.Frontend, err = frontend.Start(d.cfg.HealthCheckDelay, d.BalancerAddrs()...); err != nil {
		return err
	}
	return d.Await(frontendTimeout, "the front end finds all balancers healthy", func() bool {
		return d.Frontend.Healthy() == d.cfg.Balancers
	})
}

func (d *Deployment) startNodes() error {
	for i := range d.cfg.Nodes {
		n, err := d.startNode(i, "", true)
		if err != nil {
			return err
		}
		d.Nodes = append(d.Nodes, n)
		d.announce(i, discoveryserver.Ready)
	}
	return nil
}

func (d *Deployment) startBalancers() error {
	for i := range d.cfg.Balancers {
		b := &Balancer{deployment: d, rank: i, listen: anyPort}
		d.Balancers = append(d.Balancers, b)
		if err := b.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Await polls a condition until it holds. After the timeout it returns an error that names the condition, and once the
// deployment's context is done it returns the context's error.
func (d *Deployment) Await(timeout time.Duration, condition string, holds func() bool) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if holds() {
			return nil
		}
		if err := d.ctx.Err(); err != nil {
			return err
		}
	}
	return fmt.Errorf("timeout after %v while waiting until %s", timeout, condition)
}

// NodeID returns the id of node i in discovery.
func NodeID(i int) string { return fmt.Sprintf("s-%08x", 0x5be2a07c+i*0x01010101) }

// startNode starts node i. With an empty addr the kernel chooses a port; with startedLongAgo discovery lists the node
// as one that started long ago.
func (d *Deployment) startNode(i int, addr string, startedLongAgo bool) (*node.Node, error) {
	return node.Start(node.Config{
		ID:             NodeID(i),
		Addr:           addr,
		StartedLongAgo: startedLongAgo,
		Index:          d.Index,
		Recorder:       d.recorder,
		Store:          d.Store.Addr(),
		Keys:           d.keys,
		SetUpTime:      d.cfg.SetUpTime,
		DrainPatience:  d.cfg.DrainPatience,
		Fault:          d.cfg.Fault,
		Channels:       d.cfg.Channels,
		OnAccept:       d.NodeDials.record,
	})
}

// announce publishes a node with a lifecycle state in discovery, and returns the generation of the change.
func (d *Deployment) announce(i int, lifecycle string) uint64 {
	return d.Discovery.Publish(discoveryserver.Entry{
		ID:              NodeID(i),
		Addr:            d.Nodes[i].Addr(),
		Zone:            "a",
		MachineType:     "m",
		Lifecycle:       lifecycle,
		Weight:          1,
		StartedAtMillis: d.Nodes[i].StartedMillis(),
	})
}

// Drain drains a node, as an operator would, and returns the time at which discovery first sent this change to a
// balancer.
func (d *Deployment) Drain(i int) (announcedAt time.Time, err error) {
	d.Nodes[i].Drain()
	generation := d.announce(i, discoveryserver.Terminating)
	announced := func() bool { return !d.Discovery.AnnouncedAt(generation).IsZero() }
	err = d.Await(announceTimeout, "discovery has sent the drain to a balancer", announced)
	return d.Discovery.AnnouncedAt(generation), err
}

// KillNode resets a node's connections and closes its listener. Discovery lists the node until ListGone.
func (d *Deployment) KillNode(i int) { d.Nodes[i].Kill() }

// ListGone publishes in discovery that a node is gone.
func (d *Deployment) ListGone(i int) { d.announce(i, discoveryserver.Gone) }

// RestartNode starts a killed node again with the same id and address, but without its former state, and publishes it
// as ready.
func (d *Deployment) RestartNode(i int) error {
	n, err := d.startNode(i, d.Nodes[i].Addr(), false)
	if err != nil {
		return err
	}
	d.Nodes[i] = n
	d.announce(i, discoveryserver.Ready)
	return nil
}

// StartClient starts a client, which runs until Stop. If its configuration has no link, each of its opens has a
// dedicated connection to the front end.
func (d *Deployment) StartClient(cfg client.Config) *client.Client {
	cfg.Recorder = d.recorder
	if cfg.Link == nil {
		cfg.Link = client.DedicatedLink{Addr: d.Frontend.Addr(), OnDial: d.ClientDials.record}
	}
	c := client.New(cfg)
	d.clients.Add(1)
	go func() {
		defer d.clients.Done()
		c.Run(d.ctx)
	}()
	return c
}

// SharedLink returns a multiplexed connection to the front end, for several clients.
func (d *Deployment) SharedLink() *client.SharedLink {
	return &client.SharedLink{Addr: d.Frontend.Addr(), WindowBytes: clientWindowBytes, OnDial: d.ClientDials.record}
}

// BalancerAddrs returns the addresses at which the balancers listen for clients.
func (d *Deployment) BalancerAddrs() []string {
	var out []string
	for _, b := range d.Balancers {
		out = append(out, b.Addr())
	}
	return out
}

// Stop ends the clients and all processes and listeners that were started, also after a failed start.
func (d *Deployment) Stop() {
	d.stop()
	d.clients.Wait()
	if d.Frontend != nil {
		_ = d.Frontend.Close()
	}
	for _, b := range d.Balancers {
		b.Kill()
	}
	for _, n := range d.Nodes {
		n.Kill()
	}
	if d.Discovery != nil {
		_ = d.Discovery.Close()
	}
	if d.Store != nil {
		_ = d.Store.Close()
	}
}
