// Package checker judges a run by what crossed the sockets of clients and nodes. It is a recorder.Sink: it knows the
// protocol's lines and the index from which messages must come, and must not know the state of the emulated clients
// and nodes, which may be wrong. Split returns the figures of a stretch of the run.
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
	streams     map[uint64]*stream // by their key, of which each emulated client has its own
	tokens      map[string]*tokenUse
	openReasons map[string]string // why the client opened, by the id of its first line
	// establishedAtNode and establishedByID count connections at nodes, by node and by the id of their first line.
	establishedAtNode map[string]int
	establishedByID   map[string]int
	emptiedAt         map[string]time.Time // when a node's last connection ended
	current           Figures              // since the last Split
	expectedLine      []byte               // buffer of isMessage
}

// stream is what the checker knows of one stream, over all its connections.
type stream struct {
	cursor             uint64    // the last message delivered
	started            bool      // it has been established once
	cursorUnknown      bool      // its start was not announced: its first message shows it
	lastEnd            string    // how its last connection ended
	interruptedAt      time.Time // zero while one is established or none has been
	established        int       // connections that the client has established; more than one is a fault
	establishedAtNodes int
	node               string    // where the last of them was established
	watched            bool      // Watch chose it
	lastMessageAt      time.Time // while in focus; zero: none yet
}

// New returns a checker of streams from an index.
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

// Watch has the streams that choose accepts counted in Focus from now on, in place of earlier ones: it is called with
// a stream's key and the node where it was last established. It returns how many streams were chosen.
func (c *Checker) Watch(choose func(key uint64, node string) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	chosen := 0
	for key, s := range c.streams {
		s.watched = choose(key, s.node)
		s.lastMessageAt = time.Time{}
		if s.watched {
			chosen++
		}
	}
	return chosen
}

// TakeFigures returns the figures since the start or the last TakeFigures, and counts from 0 again. The state of streams remains.
func (c *Checker) TakeFigures() Figures {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.current
	c.current = NewFigures()
	return f
}

// Disconnected counts the streams without an established connection, by how their last one ended.
func (c *Checker) Disconnected() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for _, s := range c.streams {
		if s.established <= 0 {
			out[cmp.Or(s.lastEnd, "nothing told")]++
		}
	}
	return out
}

// Established counts the streams that have an established connection, and those of all that are further behind the
// index than slack.
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
