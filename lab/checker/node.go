package checker

import (
	"bytes"
	"time"

	"spurspread/lab/proto"
	"spurspread/lab/recorder"
)

// nodeConn is the checker's state of a connection on the node's side.
type nodeConn struct {
	key         uint64
	id          string // of the open
	token       string // of the open; "": none
	established bool
}

// tokenUse counts the connections that were established with one token.
type tokenUse struct{ live, total int }

// observeNode handles an event on the node's side of a connection.
func (c *Checker) observeNode(e recorder.Event) {
	k := c.nodes[e.Conn]
	switch {
	case !e.Sent && k == nil && !e.End:
		c.nodeOpened(e)
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

// nodeOpened records an open that a node read. An open without a token costs a session call.
func (c *Checker) nodeOpened(e recorder.Event) {
	o, err := proto.ParseOpen(string(e.Line))
	if err != nil {
		return
	}
	c.nodes[e.Conn] = &nodeConn{key: o.Key, id: o.ID, token: o.Token}
	if o.Token == "" {
		c.current.SessionOpens[c.openReasons[o.ID]]++
	}
}

// nodeEstablished records that a connection is established at a node.
func (c *Checker) nodeEstablished(e recorder.Event, k *nodeConn) {
	k.established = true
	c.establishedAtNode[e.Name]++
	c.establishedByID[k.id]++
	if c.establishedByID[k.id] > 1 {
		c.current.SecondCopies++
	}
	s := c.streamOf(k.key)
	s.establishedAtNodes++
	s.node = e.Name
	c.current.MaxLivePerStream = max(c.current.MaxLivePerStream, s.establishedAtNodes)
	if k.token != "" {
		c.tokenUsed(k.token)
	}
}

// tokenUsed records that a connection was established with a token.
func (c *Checker) tokenUsed(token string) {
	use := c.tokens[token]
	if use == nil {
		use = &tokenUse{}
		c.tokens[token] = use
	}
	use.live++
	use.total++
	c.current.TokensAccepted++
	c.current.MaxLivePerToken = max(c.current.MaxLivePerToken, use.live)
	c.current.MaxUsesPerToken = max(c.current.MaxUsesPerToken, use.total)
}

// nodeEnded records the end of a connection that was established at a node.
func (c *Checker) nodeEnded(e recorder.Event, k *nodeConn) {
	c.establishedAtNode[e.Name]--
	if c.establishedAtNode[e.Name] == 0 {
		c.emptiedAt[e.Name] = e.At
	}
	c.establishedByID[k.id]--
	if c.establishedByID[k.id] == 0 {
		delete(c.establishedByID, k.id)
	}
	c.streamOf(k.key).establishedAtNodes--
	if k.token != "" {
		c.tokens[k.token].live--
	}
}

// EmptiedAt returns the time at which the last connection of a node ended; zero while one is established, or if none
// has been.
func (c *Checker) EmptiedAt(node string) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.establishedAtNode[node] > 0 {
		return time.Time{}
	}
	return c.emptiedAt[node]
}
