// Package checker checks a run by the lines that crossed the sockets of clients and nodes. A Checker is a
// recorder.Sink. It knows the protocol's lines and the index that defines all messages. It must not know the state of
// the emulated clients and nodes, which may be wrong. TakeFigures returns the figures of a period of the run.
package checker

import (
	"cmp"
	"sync"
	"time"

	"spurspread/lab/packageindex"
	"spurspread/lab/recorder"
)

// Checker follows all streams of a run. Its methods may be called from any goroutine.
type Checker struct {
	mu          sync.Mutex
	index       *packageindex.Index
	clients     map[uint64]*clientConn
	nodes       map[uint64]*nodeConn
	streams     map[uint64]*stream // by key, which is unique for each emulated client
	tokens      map[string]*tokenUse
	openReasons map[string]string // why the client sent an open, by the open's id
	// establishedAtNode and establishedByID count the connections that are established at nodes, by the node's name
	// and by the id of the open.
	establishedAtNode map[string]int
	establishedByID   map[string]int
	emptiedAt         map[string]time.Time // when a node's last connection ended, by the node's name
	current           Figures              // since the last TakeFigures
	expectedLine      []byte               // buffer of isMessage
}

// stream is the checker's state of one stream, over all its connections.
type stream struct {
	cursor             uint64    // number of the last message delivered
	started            bool      // it has been established at least once
	cursorUnknown      bool      // the first answer did not give the cursor: the first message shows it
	lastEnd            string    // how a connection last ended, as the reason for the next open; "": unknown
	interruptedAt      time.Time // zero while a connection is established, and before the first one
	established        int       // established connections on the client's side; more than one is a fault
	establishedAtNodes int       // established connections on the side of nodes
	node               string    // name of the node that established the last connection
	watched            bool      // selected by Watch
	lastMessageAt      time.Time // while watched; zero: none yet
}

// New returns a checker for streams whose messages are defined by an index.
func New(index *packageindex.Index) *Checker {
	return &Checker{
		index:             index,
		clients:           map[uint64]*clientConn{},
		nodes:             map[uint64]*nodeConn{},
		streams:           map[uint64]*stream{},
		tokens:            map[string]*tokenUse{},
		openReasons:       map[string]string{},
		establishedAtNode: map[string]int{},
		establishedByID:   map[string]int{},
		emptiedAt:         map[string]time.Time{},
		current:           NewFigures(),
	}
}

// Record implements recorder.Sink.
func (c *Checker) Record(e recorder.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Side == recorder.Client {
		c.observeClient(e)
	} else {
		c.observeNode(e)
	}
}

func (c *Checker) streamOf(key uint64) *stream {
	s := c.streams[key]
	if s == nil {
		s = &stream{}
		c.streams[key] = s
	}
	return s
}

// Watch selects the streams that are counted in Figures.Watched from now on, and replaces an earlier selection. The
// function is called with each stream's key and the node at which the stream was last established. Watch returns the
// number of streams selected.
func (c *Checker) Watch(selects func(key uint64, node string) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	selected := 0
	for key, s := range c.streams {
		s.watched = selects(key, s.node)
		s.lastMessageAt = time.Time{}
		if s.watched {
			selected++
		}
	}
	return selected
}

// TakeFigures returns the figures since the last call, or since the start, and resets them to 0. The state of the
// streams is kept.
func (c *Checker) TakeFigures() Figures {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.current
	c.current = NewFigures()
	return f
}

// Disconnected counts the streams without an established connection, grouped by how their last connection ended.
func (c *Checker) Disconnected() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for _, s := range c.streams {
		if s.established <= 0 {
			out[cmp.Or(s.lastEnd, "no end observed")]++
		}
	}
	return out
}

// Established returns the number of streams that have an established connection, and the number of streams, with a
// connection or without, that have not received all messages that were due at now minus slack.
func (c *Checker) Established(now time.Time, slack time.Duration) (established, behind int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, s := range c.streams {
		if s.established != 0 {
			established++
		}
		if s.cursor < c.index.Head(key, now.Add(-slack)) {
			behind++
		}
	}
	return established, behind
}
