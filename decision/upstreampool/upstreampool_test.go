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

// One connection is opened to a new server; channels that arrive meanwhile wait for it, up to the limit of channels.
func TestFirstConnection(t *testing.T) {
	p := New(testLimits())
	first := p.Acquire(0, 1)
	if first.Kind != WaitForOpen || !first.Open {
		t.Fatalf("%+v", first)
	}
	for range 3 {
		if c := p.Acquire(0, 1); c.Kind != WaitForOpen || c.Open || c.Connection != first.Connection {
			t.Errorf("%+v", c)
		}
	}
	if c := p.Acquire(0, 1); c.Kind != LimitReached {
		t.Errorf("more channels than one connection may carry: %+v", c)
	}
	if c := p.OpenAhead(0, 1); c.Open {
		t.Errorf("second connection while the first is being opened: %+v", c)
	}
	p.Established(0, first.Connection)
	ahead := p.OpenAhead(0, 1)
	if !ahead.Open || ahead.Connection == first.Connection {
		t.Fatalf("not opened ahead of need: %+v", ahead)
	}
	p.Established(0, ahead.Connection)
	if c := p.Acquire(0, 1); c.Kind != Use || c.Connection != ahead.Connection {
		t.Errorf("%+v", c)
	}
	for range 4 {
		p.Release(0, first.Connection)
	}
	if c := p.Acquire(0, 1); c.Kind != Use || c.Connection != first.Connection {
		t.Errorf("want the connection with fewer channels: %+v", c)
	}
	if got := p.IdleConnections(100*second, nil); len(got) != 0 {
		t.Errorf("connections with channels reported as idle: %v", got)
	}
	p.Release(50*second, first.Connection)
	if got := p.IdleConnections(60*second-1, nil); len(got) != 0 {
		t.Errorf("connections reported as idle too soon: %v", got)
	}
	if got := p.IdleConnections(60*second, nil); len(got) != 1 || got[0] != first.Connection {
		t.Errorf("idle connections %v, want the first only", got)
	}
}

func TestBackoff(t *testing.T) {
	p := New(testLimits())
	now := monotime.Micros(0)
	for i, wait := range []monotime.Micros{
		250_000, 500_000, 1_000_000, 2_000_000, 4_000_000, 8_000_000, 8_000_000,
	} {
		c := p.Acquire(now, 1)
		if !c.Open {
			t.Fatalf("failure %d: not opened: %+v", i, c)
		}
		p.Failed(now, c.Connection)
		if c := p.Acquire(now+wait-1, 1); c.Kind != BackingOff {
			t.Errorf("failure %d: opened after %d: %+v", i, wait-1, c)
		}
		now += wait
	}
	c := p.Acquire(now, 1)
	p.Established(now, c.Connection)
	p.Failed(now+stableAfter, c.Connection)
	if c := p.Acquire(now+stableAfter+initialBackoff, 1); !c.Open {
		t.Errorf("after a stable connection: %+v", c)
	}
	if c := p.Acquire(now, 2); !c.Open {
		t.Errorf("another server is in backoff as well: %+v", c)
	}
}

func TestPlainServers(t *testing.T) {
	p := New(testLimits())
	c := p.Acquire(0, 1)
	p.MarkPlain(second, c.Connection, true)
	if got := p.Acquire(61*second-1, 1); got.Kind != PlainLines {
		t.Errorf("%+v", got)
	}
	if got := p.OpenAhead(second, 1); got.Open {
		t.Errorf("%+v", got)
	}
	if got := p.Acquire(61*second, 1); !got.Open {
		t.Errorf("channels are not tried again after PlainTTL: %+v", got)
	}
	p.MarkPlain(61*second, 2, false)
	if got := p.Acquire(71*second-1, 1); got.Kind != PlainLines {
		t.Errorf("%+v", got)
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
