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
	opens   map[string]string // why the client opened, by the id of its first line
	up      map[string]int    // connections that are up, by node
	copies  map[string]int    // and by the id of their first line
	emptied map[string]time.Time
	now     Figures
	scratch []byte
}

// Figures are what was counted.
type Figures struct {
	Messages      int // delivered to clients
	Lost          int // passed over without a word
	Repeated      int // delivered though the client had them
	Corrupt       int // not what the index holds
	AnnouncedGaps int // messages that the client was told it would miss
	Tokens        int // given with MOVE
	Honoured      int // attempts with a token that came to stand at a node
	MaxLive       int // of one token, at one instant
	MaxEver       int // of one token, in all
	MaxStream     int // of one stream, at one instant, at all nodes
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
	Ups          []time.Time     // of connections that came to stand after an earlier one of their stream
}

// Focus is what was counted of the streams that Watch names.
type Focus struct {
	Delays []time.Duration // of their messages
	Gap    time.Duration   // the longest between two messages of one of them
	Ends   int             // of their connections
}

type clientConn struct {
	key   uint64
	token bool
	up    bool
	over  bool   // it was up, and is no more
	said  string // the final answer, or MOVE
}

type nodeConn struct {
	key   uint64
	id    string
	token string
	up    bool
}

type tokenUse struct{ live, ever int }

type stream struct {
	cursor   uint64 // the last message delivered
	begun    bool
	unknown  bool      // where it began was not told: its first message tells
	why      string    // its last connection ended so
	endedAt  time.Time // zero while one stands or none has
	standing int       // connections of the client's that stand; two only if something is wrong
	live     int       // connections of it that are up at nodes
	at       string    // the node where the last of them came up
	focus    bool
	heard    time.Time // of its last message while in focus
}

// AfterToken begins the reason of a client that started over though it had been given a token.
const AfterToken = "token, then "

func (k *clientConn) after(what string) string {
	if k.token {
		return AfterToken + what
	}
	return what
}

// New returns a checker of streams from an index.
func New(x *packageindex.Index) *Checker {
	c := &Checker{
		index: x, clients: map[uint64]*clientConn{}, nodes: map[uint64]*nodeConn{}, streams: map[uint64]*stream{},
		tokens: map[string]*tokenUse{}, opens: map[string]string{}, up: map[string]int{}, copies: map[string]int{},
		emptied: map[string]time.Time{},
	}
	c.reset()
	return c
}

func (c *Checker) reset() { c.now = NewFigures() }

// NewFigures are figures of which nothing was counted.
func NewFigures() Figures {
	return Figures{SessionOpens: map[string]int{}, StartOvers: map[string]int{}, Answers: map[string]int{}}
}

// Take is part of recorder.Sink.
func (c *Checker) Take(e recorder.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Side == recorder.Client {
		c.client(e)
	} else {
		c.node(e)
	}
}

func (c *Checker) stream(key uint64) *stream {
	s := c.streams[key]
	if s == nil {
		s = &stream{}
		c.streams[key] = s
	}
	return s
}

// client follows a client's side of a connection.
func (c *Checker) client(e recorder.Event) {
	k := c.clients[e.Conn]
	switch {
	case e.Sent && k == nil && !e.End:
		c.clientOpened(e)
	case k == nil || e.Sent:
	case e.End:
		c.clientEnded(e, k)
		delete(c.clients, e.Conn)
	case !k.up:
		c.answer(e, k)
	default:
		c.message(e, k)
	}
}

// clientOpened notes a first line, and why the client sent it.
func (c *Checker) clientOpened(e recorder.Event) {
	o, err := proto.Parse(string(e.Line))
	if err != nil {
		return
	}
	s := c.stream(o.Key)
	c.clients[e.Conn] = &clientConn{key: o.Key, token: o.Token != ""}
	why := s.why
	switch {
	case o.Token != "":
		why = "token"
	case !s.begun && why == "":
		why = "first"
	}
	c.opens[o.ID] = why
	if o.Token == "" {
		c.now.StartOvers[why]++
	}
}

// answer notes what a client's first line was answered.
func (c *Checker) answer(e recorder.Event, k *clientConn) {
	s := c.stream(k.key)
	text := string(e.Line)
	a := proto.ParseAnswer(text)
	if k.token {
		words := a.Word
		if a.Word == "STALE" {
			words = text
		}
		c.now.Answers[words]++
	}
	if a.Word != "UP" {
		k.said = text
		if a.Word != "BUSY" {
			s.why = k.after(text)
		}
		return
	}
	k.up = true
	if a.Counts && s.begun && a.From > s.cursor {
		c.now.AnnouncedGaps += int(a.From - s.cursor)
		s.cursor = a.From
	} else if !s.begun {
		s.cursor, s.unknown = a.From, !a.Counts
	}
	if !s.endedAt.IsZero() {
		c.now.Gaps = append(c.now.Gaps, e.At.Sub(s.endedAt))
		c.now.Ups = append(c.now.Ups, e.At)
		s.endedAt = time.Time{}
	}
	s.begun = true
	s.standing++
}

// message notes a line that came after UP.
func (c *Checker) message(e recorder.Event, k *clientConn) {
	if bytes.HasPrefix(e.Line, []byte("MOVE")) {
		c.moved(e, k)
		return
	}
	if len(e.Line) == 0 || e.Line[0] != '#' {
		return
	}
	n, ok := proto.Number(e.Line)
	if !ok {
		c.now.Corrupt++
		return
	}
	c.scratch = c.index.Line(c.scratch[:0], k.key, n)
	if !bytes.Equal(bytes.TrimSuffix(c.scratch, []byte("\r\n")), e.Line) || c.index.Due(k.key, n).After(e.At) {
		c.now.Corrupt++
	}
	c.now.Messages++
	s := c.stream(k.key)
	if s.unknown {
		s.cursor, s.unknown = n-1, false
	}
	switch {
	case n <= s.cursor:
		c.now.Repeated++
		return
	case n > s.cursor+1:
		c.now.Lost += int(n - s.cursor - 1)
	}
	s.cursor = n
	c.delayed(s, e.At, e.At.Sub(c.index.Due(k.key, n)))
}

// moved notes that a client was sent away, with a token or without.
func (c *Checker) moved(e recorder.Event, k *clientConn) {
	c.now.Moves++
	if len(e.Line) > len("MOVE ") {
		c.now.Tokens++
	}
	k.said = string(e.Line[:4])
	if len(e.Line) == 4 {
		c.stream(k.key).why = "MOVE without a token"
	}
	c.broken(e, k)
}

// delayed notes when a stream's next message came, and how late.
func (c *Checker) delayed(s *stream, at time.Time, delay time.Duration) {
	c.now.Delays = append(c.now.Delays, delay)
	if !s.focus {
		return
	}
	f := &c.now.Focus
	f.Delays = append(f.Delays, delay)
	if !s.heard.IsZero() {
		f.Gap = max(f.Gap, at.Sub(s.heard))
	}
	s.heard = at
}

// Watch has the streams that choose picks counted in Focus from now on: it is given a stream's key, and the node
// where it stands. It returns how many there are.
func (c *Checker) Watch(choose func(key uint64, node string) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for key, s := range c.streams {
		s.focus, s.heard = choose(key, s.at), time.Time{}
		if s.focus {
			n++
		}
	}
	return n
}

// broken notes that a connection that stood is over.
func (c *Checker) broken(e recorder.Event, k *clientConn) {
	if !k.up || k.over {
		return
	}
	k.over = true
	s := c.stream(k.key)
	if s.standing--; s.standing == 0 {
		s.endedAt = e.At
	}
	if s.focus {
		c.now.Focus.Ends++
	}
}

func (c *Checker) clientEnded(e recorder.Event, k *clientConn) {
	s := c.stream(k.key)
	if k.said == "" {
		s.why = k.after("end without an answer")
		if k.up {
			s.why = "end without MOVE"
		}
		if k.token {
			c.now.Answers["end"]++
		}
	}
	c.broken(e, k)
}

// node follows a node's side of a connection.
func (c *Checker) node(e recorder.Event) {
	k := c.nodes[e.Conn]
	switch {
	case !e.Sent && k == nil && !e.End:
		o, err := proto.Parse(string(e.Line))
		if err != nil {
			return
		}
		c.nodes[e.Conn] = &nodeConn{key: o.Key, id: o.ID, token: o.Token}
		if o.Token == "" {
			c.now.SessionOpens[c.opens[o.ID]]++
		}
	case k == nil:
	case e.End:
		delete(c.nodes, e.Conn)
		if k.up {
			c.nodeEnded(e, k)
		}
	case e.Sent && !k.up && bytes.HasPrefix(e.Line, []byte("UP ")):
		c.nodeUp(e, k)
	}
}

// nodeUp notes that a connection stands at a node.
func (c *Checker) nodeUp(e recorder.Event, k *nodeConn) {
	k.up = true
	c.up[e.Name]++
	if c.copies[k.id]++; c.copies[k.id] > 1 {
		c.now.SecondCopies++
	}
	s := c.stream(k.key)
	s.live++
	s.at = e.Name
	c.now.MaxStream = max(c.now.MaxStream, s.live)
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
	c.now.Honoured++
	c.now.MaxLive, c.now.MaxEver = max(c.now.MaxLive, u.live), max(c.now.MaxEver, u.ever)
}

// nodeEnded notes that a connection that stood at a node stands no more.
func (c *Checker) nodeEnded(e recorder.Event, k *nodeConn) {
	if c.up[e.Name]--; c.up[e.Name] == 0 {
		c.emptied[e.Name] = e.At
	}
	if c.copies[k.id]--; c.copies[k.id] == 0 {
		delete(c.copies, k.id)
	}
	c.stream(k.key).live--
	if k.token != "" {
		c.tokens[k.token].live--
	}
}

// Split returns the figures since the start or the last Split, and counts anew from here. What streams have got stays.
func (c *Checker) Split() Figures {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.now
	c.reset()
	return f
}

// Missing tells of the streams that have no standing connection how their last one ended.
func (c *Checker) Missing() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]int{}
	for _, s := range c.streams {
		if s.standing <= 0 {
			out[cmp.Or(s.why, "nothing told")]++
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
	f.Honoured += g.Honoured
	f.Moves += g.Moves
	f.SecondCopies += g.SecondCopies
	f.MaxLive, f.MaxEver, f.MaxStream = max(
		f.MaxLive,
		g.MaxLive,
	), max(
		f.MaxEver,
		g.MaxEver,
	), max(
		f.MaxStream,
		g.MaxStream,
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
	f.Delays, f.Gaps, f.Ups = append(f.Delays, g.Delays...), append(f.Gaps, g.Gaps...), append(f.Ups, g.Ups...)
}

// Standing tells how many streams have a connection that stands, and how many of all are further behind the index than
// slack.
func (c *Checker) Standing(now time.Time, slack time.Duration) (standing, behind int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for key, s := range c.streams {
		if s.standing != 0 {
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
	if c.up[node] > 0 {
		return time.Time{}
	}
	return c.emptied[node]
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
