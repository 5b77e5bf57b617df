package upstreampool

import (
	"testing"

	"spurspread/decision/monotime"
)

const second = monotime.Second

func testLimits() Limits {
	return Limits{
		ChannelsPerConnection: 4,
		ConnectionsPerServer:  2,
		Connections:           5,
		IdleTimeout:           10 * second,
		PlainTTL:              60 * second,
	}
}

// One connection is opened to a new server; channels that arrive before it is open wait for it, up to the
// limit of channels.
func TestFirstConnection(t *testing.T) {
	p := New(testLimits())
	first := p.Acquire(0, 1)
	if first.Kind != WaitForOpen || !first.Open {
		t.Fatalf("first channel: %+v, want a connection opened for it", first)
	}
	for range 3 {
		if c := p.Acquire(0, 1); c.Kind != WaitForOpen || c.Open || c.Connection != first.Connection {
			t.Errorf("further channel: %+v, want it to wait for connection %d", c, first.Connection)
		}
	}
	if c := p.Acquire(0, 1); c.Kind != LimitReached {
		t.Errorf("more channels than one connection may carry: %+v, want LimitReached", c)
	}
	if c := p.OpenAhead(0, 1); c.Open {
		t.Errorf("OpenAhead while the first connection is being opened: %+v, want none opened", c)
	}
	p.Established(0, first.Connection)
	ahead := p.OpenAhead(0, 1)
	if !ahead.Open || ahead.Connection == first.Connection {
		t.Fatalf("OpenAhead with a full connection: %+v, want another connection opened", ahead)
	}
	p.Established(0, ahead.Connection)
	if c := p.Acquire(0, 1); c.Kind != Use || c.Connection != ahead.Connection {
		t.Errorf("channel with a second connection open: %+v, want it on connection %d", c, ahead.Connection)
	}
	for range 4 {
		p.Release(0, first.Connection)
	}
	if c := p.Acquire(0, 1); c.Kind != Use || c.Connection != first.Connection {
		t.Errorf("got %+v, want connection %d, which has fewer channels", c, first.Connection)
	}
	if got := p.IdleConnections(100*second, nil); len(got) != 0 {
		t.Errorf("connections with channels reported as idle: %v, want none", got)
	}
	p.Release(50*second, first.Connection)
	if got := p.IdleConnections(60*second-1, nil); len(got) != 0 {
		t.Errorf("connections reported as idle too soon: %v, want none", got)
	}
	if got := p.IdleConnections(60*second, nil); len(got) != 1 || got[0] != first.Connection {
		t.Errorf("idle connections %v, want the first only", got)
	}
}

// After each failure to open a connection, the wait before the next attempt doubles, from 250 ms to 8 s. A connection
// that lasts for stableAfter resets the wait. Other servers are not affected.
func TestBackoff(t *testing.T) {
	p := New(testLimits())
	now := monotime.Micros(0)
	for i, wait := range []monotime.Micros{
		250_000, 500_000, 1_000_000, 2_000_000, 4_000_000, 8_000_000, 8_000_000,
	} {
		c := p.Acquire(now, 1)
		if !c.Open {
			t.Fatalf("attempt %d: %+v, want a connection opened", i, c)
		}
		p.Failed(now, c.Connection)
		if c := p.Acquire(now+wait-1, 1); c.Kind != BackingOff {
			t.Errorf("%d us after failure %d: %+v, want BackingOff", wait-1, i, c)
		}
		now += wait
	}
	c := p.Acquire(now, 1)
	p.Established(now, c.Connection)
	p.Failed(now+stableAfter, c.Connection)
	if c := p.Acquire(now+stableAfter+initialBackoff, 1); !c.Open {
		t.Errorf("after a stable connection failed: %+v, want one opened after initialBackoff", c)
	}
	if c := p.Acquire(now, 2); !c.Open {
		t.Errorf("another server during the backoff: %+v, want a connection opened", c)
	}
}

// A server without channels gets plain lines for 60 s if it has confirmed that, and for 10 s if not. Then channels are
// tried again. A server with a connection is not forgotten.
func TestPlainServers(t *testing.T) {
	p := New(testLimits())
	c := p.Acquire(0, 1)
	p.MarkPlain(second, c.Connection, true)
	if got := p.Acquire(61*second-1, 1); got.Kind != PlainLines {
		t.Errorf("before PlainTTL: %+v, want PlainLines", got)
	}
	if got := p.OpenAhead(second, 1); got.Open {
		t.Errorf("OpenAhead to a plain server: %+v, want none opened", got)
	}
	if got := p.Acquire(61*second, 1); !got.Open {
		t.Errorf("channels are not tried again after PlainTTL: %+v", got)
	}
	p.MarkPlain(61*second, 2, false)
	if got := p.Acquire(71*second-1, 1); got.Kind != PlainLines {
		t.Errorf("before unconfirmedPlainTTL: %+v, want PlainLines", got)
	}
	if got := p.Acquire(71*second, 1); !got.Open || got.Connection != 3 {
		t.Errorf("channels are not tried again after unconfirmedPlainTTL: %+v", got)
	}
	p.ForgetServer(1)
	if _, known := p.servers[1]; !known {
		t.Error("server with a connection was forgotten")
	}
	p.Closed(3)
	p.ForgetServer(1)
	if _, known := p.servers[1]; known {
		t.Error("server without connections was not forgotten")
	}
}
