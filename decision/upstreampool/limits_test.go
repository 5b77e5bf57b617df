package upstreampool

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"spurspread/decision/monotime"
)

// poolModel is the expected state of a pool: its connections by server, and the channels on them.
type poolModel struct {
	pool     *Pool
	limits   Limits
	now      monotime.Micros
	opening  map[uint32]uint32 // server of each connection that is being opened
	open     map[uint32]uint32
	channels []uint32 // the connection of each channel
	failedAt map[uint32]monotime.Micros
}

func newPoolModel(l Limits) *poolModel {
	return &poolModel{
		pool:     New(l),
		limits:   l,
		opening:  map[uint32]uint32{},
		open:     map[uint32]uint32{},
		failedAt: map[uint32]monotime.Micros{},
	}
}

// recordOpening records that a connection is being opened, as the pool chose.
func (m *poolModel) recordOpening(t *rapid.T, c Choice, server uint32) {
	for _, s := range m.opening {
		if s == server {
			t.Fatalf("two connections to server %d are being opened", server)
		}
	}
	if at, failed := m.failedAt[server]; failed && m.now < at+initialBackoff {
		t.Fatalf("opened %d us after a failure, want at least %d", m.now-at, initialBackoff)
	}
	m.opening[c.Connection] = server
}

// draw picks one of the given connections.
func (m *poolModel) draw(t *rapid.T, from map[uint32]uint32) uint32 {
	var ids []uint32
	for id := uint32(1); id <= m.pool.lastID; id++ {
		if _, has := from[id]; has {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		t.Skip()
	}
	return rapid.SampledFrom(ids).Draw(t, "connection")
}

// removeConnection removes a connection with its channels.
func (m *poolModel) removeConnection(id uint32) {
	m.channels = slices.DeleteFunc(m.channels, func(on uint32) bool { return on == id })
	delete(m.opening, id)
	delete(m.open, id)
}

func drawServer(t *rapid.T) uint32 { return rapid.Uint32Range(1, 3).Draw(t, "server") }

func (m *poolModel) acquire(t *rapid.T) {
	server := drawServer(t)
	c := m.pool.Acquire(m.now, server)
	switch c.Kind {
	case Use:
		if m.open[c.Connection] != server {
			t.Fatalf("channel uses connection %d, which is not open to server %d", c.Connection, server)
		}
		m.channels = append(m.channels, c.Connection)
	case WaitForOpen:
		if c.Open {
			m.recordOpening(t, c, server)
		}
		if m.opening[c.Connection] != server {
			t.Fatalf("channel waits for connection %d, which is not being opened to server %d", c.Connection, server)
		}
		m.channels = append(m.channels, c.Connection)
	}
}

func (m *poolModel) openAhead(t *rapid.T) {
	server := drawServer(t)
	if c := m.pool.OpenAhead(m.now, server); c.Open {
		m.recordOpening(t, c, server)
	}
}

func (m *poolModel) established(t *rapid.T) {
	id := m.draw(t, m.opening)
	m.pool.Established(m.now, id)
	m.open[id] = m.opening[id]
	delete(m.opening, id)
}

func (m *poolModel) failed(t *rapid.T) {
	from := m.opening
	if rapid.Bool().Draw(t, "open") {
		from = m.open
	}
	id := m.draw(t, from)
	m.failedAt[from[id]] = m.now
	m.pool.Failed(m.now, id)
	m.removeConnection(id)
}

func (m *poolModel) markPlain(t *rapid.T) {
	id := m.draw(t, m.opening)
	server := m.opening[id]
	m.pool.MarkPlain(m.now, id, rapid.Bool().Draw(t, "confirmed"))
	m.removeConnection(id)
	if c := m.pool.Acquire(m.now, server); c.Kind != PlainLines {
		t.Fatalf("channel to a server with plain lines only: %+v, want PlainLines", c)
	}
}

func (m *poolModel) release(t *rapid.T) {
	if len(m.channels) == 0 {
		t.Skip()
	}
	i := rapid.IntRange(0, len(m.channels)-1).Draw(t, "channel")
	m.pool.Release(m.now, m.channels[i])
	m.channels = slices.Delete(m.channels, i, i+1)
}

func (m *poolModel) closeIdle(t *rapid.T) {
	for _, id := range m.pool.IdleConnections(m.now, nil) {
		if slices.Contains(m.channels, id) {
			t.Fatalf("connection %d with channels is reported as idle", id)
		}
		m.pool.Closed(id)
		m.removeConnection(id)
	}
}

func (m *poolModel) wait(t *rapid.T) {
	m.now += monotime.Micros(rapid.IntRange(1, 3_000_000).Draw(t, "us"))
}

// check compares the counts with the pool, and both with the limits.
func (m *poolModel) check(t *rapid.T) {
	connections, channels := m.pool.Counts()
	want := len(m.opening) + len(m.open)
	if connections > m.limits.Connections || channels != len(m.channels) || connections != want {
		t.Fatalf("%d connections, %d channels, want %d and %d", connections, channels, want, len(m.channels))
	}
	byConnection, byServer := map[uint32]int{}, map[uint32]int{}
	for _, id := range m.channels {
		if byConnection[id]++; byConnection[id] > m.limits.ChannelsPerConnection {
			t.Fatalf("%d channels on connection %d, want at most %d",
				byConnection[id], id, m.limits.ChannelsPerConnection)
		}
	}
	for _, connections := range []map[uint32]uint32{m.opening, m.open} {
		for _, server := range connections {
			if byServer[server]++; byServer[server] > m.limits.ConnectionsPerServer {
				t.Fatalf("%d connections to server %d, want at most %d",
					byServer[server], server, m.limits.ConnectionsPerServer)
			}
		}
	}
}

// Whatever happens, the limits hold, and at most one connection to a server is being opened at a time.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newPoolModel(Limits{
			ChannelsPerConnection: rapid.IntRange(1, 5).Draw(t, "channels"),
			ConnectionsPerServer:  rapid.IntRange(1, 3).Draw(t, "per server"),
			Connections:           rapid.IntRange(1, 6).Draw(t, "connections"),
			IdleTimeout:           5 * second,
			PlainTTL:              20 * second,
		})
		actions := map[string]func(*rapid.T){
			"acquire":     m.acquire,
			"open ahead":  m.openAhead,
			"established": m.established,
			"fail":        m.failed,
			"plain":       m.markPlain,
			"release":     m.release,
			"close idle":  m.closeIdle,
			"wait":        m.wait,
			"":            m.check,
		}
		for range 3 {
			t.Repeat(actions)
		}
	})
}
