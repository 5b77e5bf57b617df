// Package node is an emulated index node: it speaks the protocol's lines on sockets, numbers the messages of
// streams and continues them after a cursor, keeps the claims of resume tokens, calls the session store for what is
// new to it, and drains, dies, hangs and starts cold when it is told to. It takes the part that
// docs/protocol/resume.md gives to nodes, with the project's own keeper of claims.
package node

import (
	"bufio"
	"net"
	"spurspread/decision/resume"
	"spurspread/internal/token"
	"spurspread/lab/barrier"
	"spurspread/lab/packageindex"
	"spurspread/lab/recorder"
	"spurspread/lab/sshchan"
	"spurspread/lab/store"
	"sync"
	"time"
)

// Config says what a node is like.
type Config struct {
	ID             string
	Addr           string // "": a port of its own
	StartedLongAgo        bool   // it has run for long, and discovery lists its start as 0
	Index          *packageindex.Index
	Sink           recorder.Sink
	Store          string        // the session store's address
	Keys           []token.Key   // none: it knows no tokens
	SetUp          time.Duration // its own work for a new connection
	MaxConnections int           // connections that it holds at most; 0: any number
	Patience       time.Duration // after a drain's begin, until who takes tokens is sent away, too
	Lag            time.Duration // its copy of the index is so late
	OnAccept       func()        // called for each connection that it takes, if set
	Channels       bool          // it speaks multiplexed channels as well as plain lines
	Fault          Fault         // planted, to see that a checker finds it
}

// Fault is a bug on purpose.
type Fault string

// The faults that can be planted.
const (
	NoFault   Fault = ""
	ForgetClaims Fault = "forget-claims"  // every token is honoured, however often
	SkipMessage   Fault = "skip-message"   // a continued stream leaves out a message
	RepeatMessage Fault = "repeat-message" // it sends the last one again
)

const (
	clockSkew       = resume.UnixMillis(2000)
	maxClaims     = 1 << 16
	firstLineTimeout   = 5 * time.Second
	storeTimeout  = 3 * time.Second
	maxLineBytes    = 4096
	maxBatch = 64 // messages sent in one go
)

// Node is one running process of a node.
type Node struct {
	cfg     Config
	listener      net.Listener
	ring    *token.Ring
	session *store.Client
	started resume.UnixMillis

	mu                 sync.Mutex
	registry             *resume.Registry
	conns              map[*conn]bool
	streams            map[string]*conn // the connection that stands, by who it is for
	channelConnections map[*sshchan.Conn]bool
	draining           bool
	closed             bool
	running              barrier.Barrier // shut while the node hangs
	reading              barrier.Barrier // shut while it only does not read
}

// Start starts a node.
func Start(cfg Config) (*Node, error) {
	if cfg.Addr == "" {
		cfg.Addr = "127.0.0.1:0"
	}
	ln, err := listen(cfg.Addr)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg:                cfg,
		listener:                 ln,
		conns:              map[*conn]bool{},
		streams:            map[string]*conn{},
		channelConnections: map[*sshchan.Conn]bool{},
	}
	now := time.Now()
	if cfg.StartedLongAgo {
		now = now.Add(-time.Hour)
	}
	n.started = unixMillis(now)
	n.registry = resume.NewRegistry(cfg.ID, n.started, clockSkew, maxClaims)
	if len(cfg.Keys) > 0 {
		if n.ring, err = token.NewRing(cfg.Keys); err != nil {
			return nil, err
		}
	}
	if n.session, err = store.Dial(cfg.Store); err != nil {
		_ = ln.Close()
		return nil, err
	}
	go n.accept()
	return n, nil
}

// listen binds an address that a killed node may have left a moment ago.
func listen(addr string) (net.Listener, error) {
	var err error
	for range 50 {
		var ln net.Listener
		if ln, err = net.Listen("tcp", addr); err == nil {
			return ln, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, err
}

func unixMillis(t time.Time) resume.UnixMillis { return resume.UnixMillis(t.UnixMilli()) }

// Addr is where it listens.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// StartedMillis is what discovery lists as its start.
func (n *Node) StartedMillis() int64 {
	if n.cfg.StartedLongAgo {
		return 0
	}
	return int64(n.started)
}

// Established is how many connections are up.
func (n *Node) Established() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	up := 0
	for c := range n.conns {
		if c.established {
			up++
		}
	}
	return up
}

// Drain has it refuse what is new, and send its clients away: plain ones at once, others after its patience.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
	for c := range n.conns {
		c.scheduleMove()
	}
}

// Kill ends the process: what stands is reset, and nobody listens.
func (n *Node) Kill() {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return
	}
	n.closed = true
	conns := make([]*conn, 0, len(n.conns))
	for c := range n.conns {
		conns = append(conns, c)
	}
	n.mu.Unlock()
	_ = n.listener.Close()
	n.ResetChannelConnections()
	for _, c := range conns {
		_ = c.recorded.Reset()
	}
	_ = n.session.Close()
	n.Wake()
}

// Hang has it do nothing at all, with all its connections open.
func (n *Node) Hang() { n.running.Shut() }

// StopReading has it read nothing; it goes on sending.
func (n *Node) StopReading() { n.reading.Shut() }

// Wake ends a hang, of either kind.
func (n *Node) Wake() {
	n.running.Open()
	n.reading.Open()
}

// ResetChannelConnections resets its connections with channels, and tells how many channels were on them.
func (n *Node) ResetChannelConnections() (channels int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for t := range n.channelConnections {
		channels += t.Len()
		_ = t.Abort()
	}
	return channels
}

func (n *Node) accept() {
	for {
		raw, err := n.listener.Accept()
		if err != nil {
			return
		}
		if n.cfg.OnAccept != nil {
			n.cfg.OnAccept()
		}
		go n.detectProtocol(pausableConn{raw, n})
	}
}

// detectProtocol looks which of the protocols a connection begins with.
func (n *Node) detectProtocol(raw pausableConn) {
	rd := bufio.NewReaderSize(raw, 64<<10)
	if n.cfg.Channels {
		if head, _ := rd.Peek(4); string(head) == "SSH-" {
			n.serveChannels(raw, rd)
			return
		}
	}
	n.serve(
		&conn{
			node:        n,
			recorded: recorder.Wrap(bufferedSocket{recorder.Socket{Conn: raw}, rd}, n.cfg.Sink, recorder.Node, n.cfg.ID),
		},
		"",
	)
}

// bufferedSocket is a socket of which something was read already.
type bufferedSocket struct {
	recorder.Socket
	rd *bufio.Reader
}

// Read is part of recorder.Stream.
func (b bufferedSocket) Read(p []byte) (int, error) { return b.rd.Read(p) }

// channelWindowBytes is what the node grants on each channel.
const channelWindowBytes = 64 << 10

func (n *Node) serveChannels(raw pausableConn, rd *bufio.Reader) {
	if _, err := rd.ReadString('\n'); err != nil {
		_ = raw.Close()
		return
	}
	t, err := sshchan.Server(raw, rd, channelWindowBytes)
	if err != nil {
		_ = raw.Close()
		return
	}
	n.mu.Lock()
	n.channelConnections[t] = true
	n.mu.Unlock()
	for ch := t.Accept(); ch != nil; ch = t.Accept() {
		go n.serve(&conn{node: n, channel: ch, recorded: recorder.Wrap(ch, n.cfg.Sink, recorder.Node, n.cfg.ID)}, ch.Line)
	}
	n.mu.Lock()
	delete(n.channelConnections, t)
	n.mu.Unlock()
}

// pausableConn is a socket of a node that may hang: what comes meanwhile, its end too, waits.
type pausableConn struct {
	net.Conn
	n *Node
}

// Read is part of net.Conn.
func (h pausableConn) Read(b []byte) (int, error) {
	n, err := h.Conn.Read(b)
	h.n.running.Pass()
	h.n.reading.Pass()
	return n, err
}

// SetLinger makes a close a reset.
func (h pausableConn) SetLinger(sec int) error { return h.Conn.(*net.TCPConn).SetLinger(sec) }
