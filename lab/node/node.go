// Package node emulates an index node. A Node accepts connections and channels on a socket, sends the numbered messages
// of streams and continues a stream after a cursor, keeps the claims of resume tokens in the registry of
// decision/resume, and calls the session store for clients without a token. Its methods drain, kill and hang it. The
// package implements the node's part of docs/protocol/resume.md. It must not know balancers or the checker that
// observes its sockets.
package node

import (
	"bufio"
	"net"
	"sync"
	"time"

	"spurspread/decision/resume"
	"spurspread/internal/token"
	"spurspread/lab/barrier"
	"spurspread/lab/packageindex"
	"spurspread/lab/recorder"
	"spurspread/lab/sshchan"
	"spurspread/lab/store"
)

// Config describes a node. ID, Index, Recorder and Store must be set.
type Config struct {
	ID             string
	Addr           string // listen address; "": the kernel chooses a port
	StartedLongAgo bool   // it counts as started an hour ago, and discovery lists its start as 0
	Index          *packageindex.Index
	Recorder       *recorder.Recorder // of its connections
	Store          string             // address of the session store
	Keys           []token.Key        // of resume tokens; none: tokens are not checked
	SetUpTime      time.Duration      // time that it takes to set up a connection
	DrainPatience  time.Duration      // from a drain until clients that take tokens are moved
	OnAccept       func()             // called for each accepted connection; may be nil
	Channels       bool               // it accepts multiplexed channels as well as plain lines
	Fault          Fault              // injected, to test that a checker finds it
}

// Fault is a bug that is injected into a node on purpose.
type Fault string

// The faults that can be injected.
const (
	NoFault       Fault = ""
	ForgetClaims  Fault = "forget-claims"  // every token is accepted, however often it is presented
	SkipMessage   Fault = "skip-message"   // a resumed stream leaves out a message
	RepeatMessage Fault = "repeat-message" // a resumed stream sends the last message before its cursor again
)

const (
	clockSkew          = resume.UnixMillis(2000) // difference between the clocks of nodes that the registry tolerates
	maxClaims          = 1 << 16                 // claims that the registry keeps
	firstLineTimeout   = 5 * time.Second         // bounds the wait for a first line, and a line's wait in received
	storeTimeout       = 3 * time.Second         // of a session call, if the client's deadline is not shorter
	maxLineBytes       = 4096
	maxBatch           = 64        // messages in one write
	channelWindowBytes = 64 << 10  // receive window that is granted on each channel
	readBufferBytes    = 64 << 10  // for an accepted socket
	longAgo            = time.Hour // age of a node with StartedLongAgo
	listenAttempts     = 50
	listenPause        = 10 * time.Millisecond // between two attempts to listen
)

// sshPrefix is the beginning of a connection with multiplexed channels.
const sshPrefix = "SSH-"

// Node is one running process of a node. Its methods may be called from any goroutine.
type Node struct {
	cfg      Config
	listener net.Listener
	ring     *token.Keyring // nil: tokens are not checked
	session  *store.Client
	started  resume.UnixMillis
	running  barrier.Barrier // closed while the node hangs
	reading  barrier.Barrier // closed while the node sends but does not read

	mu                 sync.Mutex
	registry           *resume.Registry
	conns              map[*conn]bool
	streams            map[string]*conn // the established connection of each client
	channelConnections map[*sshchan.Conn]bool
	draining           bool
	closed             bool
}

// Start starts a node, which listens when Start returns. It fails if the address stays in use, a key is invalid, or the
// session store can't be reached.
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
		listener:           ln,
		conns:              map[*conn]bool{},
		streams:            map[string]*conn{},
		channelConnections: map[*sshchan.Conn]bool{},
	}
	now := time.Now()
	if cfg.StartedLongAgo {
		now = now.Add(-longAgo)
	}
	n.started = unixMillis(now)
	n.registry = resume.NewRegistry(cfg.ID, n.started, clockSkew, maxClaims)
	if len(cfg.Keys) > 0 {
		if n.ring, err = token.NewKeyring(cfg.Keys); err != nil {
			_ = ln.Close()
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

// listen listens at an address. It tries listenAttempts times, because the address may still be in use by a node that
// was just killed.
func listen(addr string) (net.Listener, error) {
	var err error
	for range listenAttempts {
		var ln net.Listener
		if ln, err = net.Listen("tcp", addr); err == nil {
			return ln, nil
		}
		time.Sleep(listenPause)
	}
	return nil, err
}

func unixMillis(t time.Time) resume.UnixMillis { return resume.UnixMillis(t.UnixMilli()) }

// Addr returns the address at which the node listens.
func (n *Node) Addr() string { return n.listener.Addr().String() }

// StartedMillis returns the node's start for discovery, in milliseconds since 1970; 0 with StartedLongAgo.
func (n *Node) StartedMillis() int64 {
	if n.cfg.StartedLongAgo {
		return 0
	}
	return int64(n.started)
}

// Drain makes the node refuse new streams and move its clients away: those that take tokens after DrainPatience, all
// others at once.
func (n *Node) Drain() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.draining = true
	for c := range n.conns {
		c.scheduleMove()
	}
}

// Kill emulates a crash of the process: connections are reset, and the listener is closed. A second call does nothing.
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

// Hang makes the node neither read nor write, with all its connections open, until Wake.
func (n *Node) Hang() { n.running.Close() }

// StopReading makes the node stop reading, while it goes on sending, until Wake.
func (n *Node) StopReading() { n.reading.Close() }

// Wake ends Hang and StopReading.
func (n *Node) Wake() {
	n.running.Open()
	n.reading.Open()
}

// ResetChannelConnections resets the connections with channels, and returns the number of channels on them.
func (n *Node) ResetChannelConnections() (channels int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.channelConnections {
		channels += c.ChannelCount()
		_ = c.Abort()
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

// detectProtocol serves a connection with channels or with plain lines, depending on its first bytes.
func (n *Node) detectProtocol(raw pausableConn) {
	reader := bufio.NewReaderSize(raw, readBufferBytes)
	if n.cfg.Channels {
		if prefix, _ := reader.Peek(len(sshPrefix)); string(prefix) == sshPrefix {
			n.serveChannels(raw, reader)
			return
		}
	}
	socket := bufferedSocket{recorder.Socket{Conn: raw}, reader}
	n.serve(&conn{node: n, recorded: n.cfg.Recorder.Wrap(socket, recorder.Node, n.cfg.ID)}, "")
}

// bufferedSocket is a socket that is read through a buffer, which may already contain bytes of it.
type bufferedSocket struct {
	recorder.Socket
	reader *bufio.Reader
}

// Read implements recorder.Stream.
func (b bufferedSocket) Read(p []byte) (int, error) { return b.reader.Read(p) }

// serveChannels serves the channels of a connection until the connection ends.
func (n *Node) serveChannels(raw pausableConn, reader *bufio.Reader) {
	if _, err := reader.ReadString('\n'); err != nil {
		_ = raw.Close()
		return
	}
	connection, err := sshchan.Server(raw, reader, channelWindowBytes)
	if err != nil {
		_ = raw.Close()
		return
	}
	n.mu.Lock()
	n.channelConnections[connection] = true
	n.mu.Unlock()
	for ch := connection.Accept(); ch != nil; ch = connection.Accept() {
		c := &conn{node: n, channel: ch, recorded: n.cfg.Recorder.Wrap(ch, recorder.Node, n.cfg.ID)}
		go n.serve(c, ch.Line)
	}
	n.mu.Lock()
	delete(n.channelConnections, connection)
	n.mu.Unlock()
}

// pausableConn is a socket whose reads do not return while the node hangs or has stopped reading.
type pausableConn struct {
	net.Conn
	node *Node
}

// Read implements net.Conn.
func (p pausableConn) Read(b []byte) (int, error) {
	n, err := p.Conn.Read(b)
	p.node.running.Wait()
	p.node.reading.Wait()
	return n, err
}

// SetLinger implements the setting of net.TCPConn, by which Close resets the connection.
func (p pausableConn) SetLinger(sec int) error { return p.Conn.(*net.TCPConn).SetLinger(sec) }
