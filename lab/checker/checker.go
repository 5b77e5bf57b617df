// Package checker judges a run by what crossed the sockets of clients and nodes, and by nothing else: it does not ask
// the stand-ins what they believe. It knows the protocol's lines and the index that messages must come from.
package checker

import (
	"bytes"
	"cmp"
	"fmt"
	"slices"
	"spurspread/lab/packageindex"
	"spurspread/lab/proto"
	"spurspread/lab/recorder"
	"strings"
	"sync"
	"time"
)

// Checker follows all streams of a run. It is a recorder.Sink.
type Checker struct {
	mu      sync.Mutex
	index   *packageindex.Index
	clients map[uint64]*clientConn
	nodes   map[uint64]*nodeConn
	streams map[uint64]*stream // by the flow's key, which each emulated client has for itself
	tokens  map[string]*tokenUse
	openReasons   map[string]string // why the client opened, by the id of its first line
	establishedAtNode      map[string]int    // connections that are up, by node
	establishedByID  map[string]int    // and by the id of their first line
	emptiedAt map[string]time.Time
	current     Figures
	expectedLine []byte
}

// Figures are what was counted.
type Figures struct {
	Messages      int // delivered to clients
	Lost          int // passed over without a word
	Repeated      int // delivered though the client had them
	Corrupt       int // not what the index holds
	AnnouncedGaps int // messages that the client was told it would miss
	Tokens        int // given with MOVE
	Accepted      int // attempts with a token that came to stand at a node
	MaxLivePerToken       int // of one token, at one instant
	MaxUsesPerToken       int // of one token, in all
	MaxLivePerStream     int // of one stream, at one instant, at all nodes
	Moves         int // MOVE lines read by clients, with a token or without
	// SessionOpens are first lines without a token that nodes read, by why the client had opened: each costs a call.
	// StartOvers are those that clients sent.
	SessionOpens, StartOvers map[string]int
	// Answers are the final answers that clients read to a token, by their first words.
	Answers map[string]int
	// SecondCopies are first lines that came to stand at a node while the same line stood at another or the same.
	SecondCopies int
	Focus        Focus
	Delays       []time.Duration // of messages, from when they were due until they were read
	Gaps         []time.Duration // without a standing connection, from each end to the next UP
	Reestablished          []time.Time     // of connections that came to stand after an earlier one of their stream
}

// Focus is what was counted of the streams that Watch names.
type Focus struct {
	Delays []time.Duration // of their messages
	Gap    time.Duration   // the longest between two messages of one of them
	Ends   int             // of their connections
}

type clientConn struct {
	key   uint64
	hasToken bool
	established    bool
	lost  bool   // it was up, and is no more
	lastLine  string // the final answer, or MOVE
}

type nodeConn struct {
	key   uint64
	id    string
	token string
	established    bool
}

type tokenUse struct{ live, ever int }

type stream struct {
	cursor   uint64 // the last message delivered
	started    bool
	cursorUnknown  bool      // where it began was not told: its first message tells
	lastEnd      string    // its last connection ended so
	interruptedAt  time.Time // zero while one stands or none has
	established int       // connections of the client's that stand; two only if something is wrong
	establishedAtNodes     int       // connections of it that are up at nodes
	node       string    // the node where the last of them came up
	focus    bool
	lastMessageAt    time.Time // of its last message while in focus
}

// AfterToken begins the reason of a client that started over though it had been given a token.
const AfterToken = "token, then "

func (k *clientConn) after(what string) string {
	if k.hasToken {
		return AfterToken + what
	}
	return what
}

// New returns a checker of streams from an index.
func New(x *packageindex.Index) *Checker {
	c := &Checker{
		index: x, clients: map[uint64]*clientConn{}, nodes: map[uint64]*nodeConn{}, streams: map[uint64]*stream{},
		tokens: map[string]*tokenUse{}, openReasons: map[string]string{}, establishedAtNode: map[string]int{}, establishedByID: map[string]int{},
		emptiedAt: map[string]time.Time{},
	}
	c.reset()
	return c
}

func (c *Checker) reset() { c.current = NewFigures() }

// NewFigures are figures of which nothing was counted.
func NewFigures() Figures {
	return Figures{SessionOpens: map[string]int{}, StartOvers: map[string]int{}, Answers: map[string]int{}}
}

// Take is part of recorder.Sink.
func (c *Checker) Take(e recorder.Event) {
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

// observeClient follows a client's side of a connection.
func (c *Checker) observeClient(e recorder.Event) {
	k := c.clients[e.Conn]
	switch {
	case e.Sent && k == nil && !e.End:
		c.clientOpened(e)
	case k == nil || e.Sent:
	case e.End:
		c.clientEnded(e, k)
		delete(c.clients, e.Conn)
	case !k.established:
		c.clientAnswered(e, k)
	default:
		c.clientReceived(e, k)
	}
}

// clientOpened notes a first line, and why the client sent it.
func (c *Checker) clientOpened(e recorder.Event) {
	o, err := proto.Parse(string(e.Line))
	if err != nil {
		return
	}
	s := c.streamOf(o.Key)
	c.clients[e.Conn] = &clientConn{key: o.Key, hasToken: o.Token != ""}
	why := s.lastEnd
	switch {
	case o.Token != "":
		why = "token"
	case !s.started && why == "":
		why = "first"
	}
	c.openReasons[o.ID] = why
	if o.Token == "" {
		c.current.StartOvers[why]++
	}
}

// clientAnswered notes what a client's first line was answered.
func (c *Checker) clientAnswered(e recorder.Event, k *clientConn) {
	s := c.streamOf(k.key)
	text := string(e.Line)
	a := proto.ParseAnswer(text)
	if k.hasToken {
		words := a.Word
		if a.Word == "STALE" {
			words = text
		}
		c.current.Answers[words]++
	}
	if a.Word != "UP" {
		k.lastLine = text
		if a.Word != "BUSY" {
			s.lastEnd = k.after(text)
		}
		return
	}
	k.established = true
	if a.Counts && s.started && a.From > s.cursor {
		c.current.AnnouncedGaps += int(a.From - s.cursor)
		s.cursor = a.From
	} else if !s.started {
		s.cursor, s.cursorUnknown = a.From, !a.Counts
	}
	if !s.interruptedAt.IsZero() {
		c.current.Gaps = append(c.current.Gaps, e.At.Sub(s.interruptedAt))
		c.current.Reestablished = append(c.current.Reestablished, e.At)
		s.interruptedAt = time.Time{}
	}
	s.started = true
	s.established++
}

// clientReceived notes a line that came after UP.
func (c *Checker) clientReceived(e recorder.Event, k *clientConn) {
	if bytes.HasPrefix(e.Line, []byte("MOVE")) {
		c.clientMoved(e, k)
		return
	}
	if len(e.Line) == 0 || e.Line[0] != '#' {
		return
	}
	n, ok := proto.Number(e.Line)
	if !ok {
		c.current.Corrupt++
		return
	}
	c.expectedLine = c.index.Line(c.expectedLine[:0], k.key, n)
	if !bytes.Equal(bytes.TrimSuffix(c.expectedLine, []byte("\r\n")), e.Line) || c.index.Due(k.key, n).After(e.At) {
		c.current.Corrupt++
	}
	c.current.Messages++
	s := c.streamOf(k.key)
	if s.cursorUnknown {
		s.cursor, s.cursorUnknown = n-1, false
	}
	switch {
	case n <= s.cursor:
		c.current.Repeated++
		return
	case n > s.cursor+1:
		c.current.Lost += int(n - s.cursor - 1)
	}
	s.cursor = n
	c.recordDelay(s, e.At, e.At.Sub(c.index.Due(k.key, n)))
}

// clientMoved notes that a client was sent away, with a token or without.
func (c *Checker) clientMoved(e recorder.Event, k *clientConn) {
	c.current.Moves++
	if len(e.Line) > len("MOVE ") {
		c.current.Tokens++
	}
	k.lastLine = string(e.Line[:4])
	if len(e.Line) == 4 {
		c.streamOf(k.key).lastEnd = "MOVE without a token"
	}
	c.connectionLost(e, k)
}

// recordDelay notes when a stream's next message came, and how late.
func (c *Checker) recordDelay(s *stream, at time.Time, delay time.Duration) {
	c.current.Delays = append(c.current.Delays, delay)
	if !s.focus {
		return
	}
	f := &c.current.Focus
	f.Delays = append(f.Delays, delay)
	if !s.lastMessageAt.IsZero() {
		f.Gap = max(f.Gap, at.Sub(s.lastMessageAt))
	}
	s.lastMessageAt = at
}

// Watch has the streams that choose picks counted in Focus from now on: it is given a stream's key, and the node
// where it stands. It returns how many there are.
func (c *Checker) Watch(choose func(key uint64, node string) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for key, s := range c.streams {
		s.focus, s.lastMessageAt = choose(key, s.node), time.Time{}
		if s.focus {
			n++
		}
	}
	return n
}

// connectionLost notes that a connection that stood is over.
func (c *Checker) connectionLost(e recorder.Event, k *clientConn) {
	if !k.established || k.lost {
		return
	}
	k.lost = true
	s := c.streamOf(k.key)
	if s.established--; s.established == 0 {
		s.interruptedAt = e.At
	}
	if s.focus {
		c.current.Focus.Ends++
	}
}

func (c *Checker) clientEnded(e recorder.Event, k *clientConn) {
	s := c.streamOf(k.key)
	if k.lastLine == "" {
		s.lastEnd = k.after("end without an answer")
		if k.established {
			s.lastEnd = "end without MOVE"
		}
		if k.hasToken {
			c.current.Answers["end"]++
		}
	}
	c.connectionLost(e, k)
}

// observeNode follows a node's side of a connection.
func (c *Checker) observeNode(e recorder.Event) {
	k := c.nodes[e.Conn]
	switch {
	case !e.Sent && k == nil && !e.End:
		o, err := proto.Parse(string(e.Line))
		if err != nil {
			return
		}
		c.nodes[e.Conn] = &nodeConn{key: o.Key, id: o.ID, token: o.Token}
		if o.Token == "" {
			c.current.SessionOpens[c.openReasons[o.ID]]++
		}
	case k == nil:
	case e.End:
		delete(c.nodes, e.Conn)
		if k.established {
			c.nodeEnded(e, k)
		}
	case e.Sent && !k.established && bytes.HasPrefix(e.Line, []byte("UP ")):
		c.nodeEstablished(e, k)
	}
}

// nodeEstablished notes that a connection stands at a node.
func (c *Checker) nodeEstablished(e recorder.Event, k *nodeConn) {
	k.established = true
	c.establishedAtNode[e.Name]++
	if c.establishedByID[k.id]++; c.establishedByID[k.id] > 1 {
		c.current.SecondCopies++
	}
	s := c.streamOf(k.key)
	s.establishedAtNodes++
	s.node = e.Name
	c.current.MaxLivePerStream = max(c.current.MaxLivePerStream, s.establishedAtNodes)
	if k.token == "" {
		return
	}
	u := c.tokens[k.token]
	if u == nil {
		u = &tokenUse{}
		c.tokens[k.token] = u
	}
	u.live++
	u.ever++
	c.current.Accepted++
	c.current.MaxLivePerToken, c.current.MaxUsesPerToken = max(c.current.MaxLivePerToken, u.live), max(c.current.MaxUsesPerToken, u.ever)
}

// nodeEnded notes that a connection that stood at a node stands no more.
func (c *Checker) nodeEnded(e recorder.Event, k *nodeConn) {
	if c.establishedAtNode[e.Name]--; c.establishedAtNode[e.Name] == 0 {
		c.emptiedAt[e.Name] = e.At
	}
	if c.establishedByID[k.id]--; c.establishedByID[k.id] == 0 {
		delete(c.establishedByID, k.id)
	}
	c.streamOf(k.key).establishedAtNodes--
	if k.token != "" {
		c.tokens[k.token].live--
	}
}

// Split returns the figures since the start or the last Split, and counts anew from here. What streams have got stays.
func (c *Checker) Split() Figures {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.current
	c.reset()
	return f
}

// Disconnected tells of the streams that have no standing connection how their last one ended.
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

// Add adds the figures of a later stretch.
func (f *Figures) Add(g Figures) {
	f.Messages += g.Messages
	f.Lost += g.Lost
	f.Repeated += g.Repeated
	f.Corrupt += g.Corrupt
	f.AnnouncedGaps += g.AnnouncedGaps
	f.Tokens += g.Tokens
	f.Accepted += g.Accepted
	f.Moves += g.Moves
	f.SecondCopies += g.SecondCopies
	f.MaxLivePerToken, f.MaxUsesPerToken, f.MaxLivePerStream = max(
		f.MaxLivePerToken,
		g.MaxLivePerToken,
	), max(
		f.MaxUsesPerToken,
		g.MaxUsesPerToken,
	), max(
		f.MaxLivePerStream,
		g.MaxLivePerStream,
	)
	for _, m := range []struct{ to, from map[string]int }{
		{f.SessionOpens, g.SessionOpens},
		{f.StartOvers, g.StartOvers},
		{f.Answers, g.Answers},
	} {
		for k, n := range m.from {
			m.to[k] += n
		}
	}
	f.Delays, f.Gaps, f.Reestablished = append(f.Delays, g.Delays...), append(f.Gaps, g.Gaps...), append(f.Reestablished, g.Reestablished...)
}

// Established tells how many streams have a connection that stands, and how many of all are further behind the index than
// slack.
func (c *Checker) Established(now time.Time, slack time.Duration) (standing, behind int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, s := range c.streams {
		if s.established != 0 {
			standing++
		}
		if s.cursor < c.index.Head(key, now.Add(-slack)) {
			behind++
		}
	}
	return standing, behind
}

// Emptied tells when the last connection of a node's ended, zero while one is up.
func (c *Checker) Emptied(node string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.establishedAtNode[node] > 0 {
		return time.Time{}
	}
	return c.emptiedAt[node]
}

// SessionCalls is the sum of SessionOpens.
func (f *Figures) SessionCalls() int {
	sum := 0
	for _, n := range f.SessionOpens {
		sum += n
	}
	return sum
}

// Explain lists counted words, most first.
func Explain(counts map[string]int) string {
	var words []string
	for w := range counts {
		words = append(words, w)
	}
	slices.SortFunc(words, func(a, b string) int {
		if d := counts[b] - counts[a]; d != 0 {
			return d
		}
		return strings.Compare(a, b)
	})
	var out []string
	for _, w := range words {
		out = append(out, fmt.Sprintf("%d %s", counts[w], w))
	}
	return strings.Join(out, ", ")
}
