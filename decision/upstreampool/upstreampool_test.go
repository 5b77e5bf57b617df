package upstreampool

import (
	"testing"

	"pgregory.net/rapid"
)

const sec = Micros(1_000_000)

var limits = Limits{
	ChannelsPerConnection: 4,
	ConnectionsPerServer:  2,
	Connections:           5,
	IdleTimeout:           10 * sec,
	PlainTTL:              60 * sec,
}

// A new server is asked once; what comes meanwhile waits with the first, up to what a trunk carries.
func TestFirstTrunk(t *testing.T) {
	p := New(limits)
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
		t.Errorf("over what one carries: %+v", c)
	}
	if c := p.OpenAhead(0, 1); c.Open {
		t.Errorf("a second one while the first is being opened: %+v", c)
	}
	p.Established(0, first.Connection)
	ahead := p.OpenAhead(0, 1)
	if !ahead.Open || ahead.Connection == first.Connection {
		t.Fatalf("ahead: %+v", ahead)
	}
	p.Established(0, ahead.Connection)
	if c := p.Acquire(0, 1); c.Kind != Use || c.Connection != ahead.Connection {
		t.Errorf("%+v", c)
	}
	p.Release(0, first.Connection)
	p.Release(0, first.Connection)
	p.Release(0, first.Connection)
	p.Release(0, first.Connection)
	if c := p.Acquire(0, 1); c.Kind != Use || c.Connection != first.Connection {
		t.Errorf("not the emptier one: %+v", c)
	}
	if got := p.IdleConnections(100*sec, nil); len(got) != 0 {
		t.Errorf("retired with channels on it: %v", got)
	}
	p.Release(50*sec, first.Connection)
	if got := p.IdleConnections(60*sec-1, nil); len(got) != 0 {
		t.Errorf("retired too soon: %v", got)
	}
	if got := p.IdleConnections(60*sec, nil); len(got) != 1 || got[0] != first.Connection {
		t.Errorf("%v", got)
	}
}

func TestFailures(t *testing.T) {
	p := New(limits)
	now := Micros(0)
	for i, wait := range []Micros{250_000, 500_000, 1_000_000, 2_000_000, 4_000_000, 8_000_000, 8_000_000} {
		c := p.Acquire(now, 1)
		if !c.Open {
			t.Fatalf("%d: %+v", i, c)
		}
		p.Failed(now, c.Connection)
		if c := p.Acquire(now+wait-1, 1); c.Kind != BackingOff {
			t.Errorf("%d: after %d: %+v", i, wait-1, c)
		}
		now += wait
	}
	c := p.Acquire(now, 1)
	p.Established(now, c.Connection)
	p.Failed(now+stableAfter, c.Connection)
	if c := p.Acquire(now+stableAfter+initialBackoff, 1); !c.Open {
		t.Errorf("after a long good time: %+v", c)
	}
	if c := p.Acquire(now, 2); !c.Open {
		t.Errorf("another server pays for it: %+v", c)
	}
}

func TestPlainServers(t *testing.T) {
	p := New(limits)
	c := p.Acquire(0, 1)
	p.MarkPlain(sec, c.Connection, true)
	if got := p.Acquire(61*sec-1, 1); got.Kind != PlainLines {
		t.Errorf("%+v", got)
	}
	if got := p.OpenAhead(sec, 1); got.Open {
		t.Errorf("%+v", got)
	}
	if got := p.Acquire(61*sec, 1); !got.Open {
		t.Errorf("never asked again: %+v", got)
	}
	p.MarkPlain(61*sec, 2, false)
	if got := p.Acquire(71*sec-1, 1); got.Kind != PlainLines {
		t.Errorf("%+v", got)
	}
	if got := p.Acquire(71*sec, 1); !got.Open || got.Connection != 3 {
		t.Errorf("unsure, and never asked again: %+v", got)
	}
	p.ForgetServer(1)
	if _, known := p.servers[1]; !known {
		t.Error("forgotten with a trunk")
	}
	p.Closed(3)
	p.ForgetServer(1)
	if _, known := p.servers[1]; known {
		t.Error("not forgotten")
	}
}

// Whatever happens, the limits hold, and one trunk to a server is being opened at a time.
func TestLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{
			ChannelsPerConnection: rapid.IntRange(1, 5).
				Draw(t, "channels"),
			ConnectionsPerServer: rapid.IntRange(1, 3).Draw(t, "trunks"),
			Connections:          rapid.IntRange(1, 6).Draw(t, "all"), IdleTimeout: 5 * sec, PlainTTL: 20 * sec,
		}
		p, now := New(l), Micros(0)
		var channels []uint32
		opening, up, failedAt := map[uint32]uint32{}, map[uint32]uint32{}, map[uint32]Micros{}
		server := rapid.Uint32Range(1, 3)
		begin := func(c Choice, s uint32) {
			for _, of := range opening {
				if of == s {
					t.Fatalf("two trunks to %d are being opened", s)
				}
			}
			if at, failed := failedAt[s]; failed && now < at+initialBackoff {
				t.Fatalf("opened %d after a failure", now-at)
			}
			opening[c.Connection] = s
		}
		one := func(of map[uint32]uint32) uint32 {
			var ids []uint32
			for id := uint32(1); id <= p.lastID; id++ {
				if _, has := of[id]; has {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				t.Skip()
			}
			return rapid.SampledFrom(ids).Draw(t, "trunk")
		}
		lose := func(id uint32) {
			kept := channels[:0]
			for _, c := range channels {
				if c != id {
					kept = append(kept, c)
				}
			}
			channels = kept
			delete(opening, id)
			delete(up, id)
		}
		actions := map[string]func(*rapid.T){
			"take": func(t *rapid.T) {
				s := server.Draw(t, "server")
				c := p.Acquire(now, s)
				switch c.Kind {
				case Use:
					if up[c.Connection] != s {
						t.Fatalf("on trunk %d, which is not up for %d", c.Connection, s)
					}
					channels = append(channels, c.Connection)
				case WaitForOpen:
					if c.Open {
						begin(c, s)
					}
					if opening[c.Connection] != s {
						t.Fatalf("waits for trunk %d, which is not being opened for %d", c.Connection, s)
					}
					channels = append(channels, c.Connection)
				}
			},
			"ahead": func(t *rapid.T) {
				s := server.Draw(t, "server")
				if c := p.OpenAhead(now, s); c.Open {
					begin(c, s)
				}
			},
			"opened": func(t *rapid.T) {
				id := one(opening)
				p.Established(now, id)
				up[id] = opening[id]
				delete(opening, id)
			},
			"fails": func(t *rapid.T) {
				of := opening
				if rapid.Bool().Draw(t, "up") {
					of = up
				}
				id := one(of)
				failedAt[of[id]] = now
				p.Failed(now, id)
				lose(id)
			},
			"plain": func(t *rapid.T) {
				id := one(opening)
				s := opening[id]
				p.MarkPlain(now, id, rapid.Bool().Draw(t, "sure"))
				lose(id)
				if c := p.Acquire(now, s); c.Kind != PlainLines {
					t.Fatalf("%+v", c)
				}
			},
			"done": func(t *rapid.T) {
				if len(channels) == 0 {
					t.Skip()
				}
				i := rapid.IntRange(0, len(channels)-1).Draw(t, "channel")
				p.Release(now, channels[i])
				channels = append(channels[:i], channels[i+1:]...)
			},
			"retire": func(t *rapid.T) {
				for _, id := range p.IdleConnections(now, nil) {
					for _, c := range channels {
						if c == id {
							t.Fatalf("trunk %d is retired with channels on it", id)
						}
					}
					p.Closed(id)
					lose(id)
				}
			},
			"wait": func(t *rapid.T) { now += Micros(rapid.IntRange(1, 3_000_000).Draw(t, "us")) },
			"": func(t *rapid.T) {
				trunks, n := p.Counts()
				if trunks > l.Connections || n != len(channels) || trunks != len(opening)+len(up) {
					t.Fatalf("%d trunks, %d channels; %d and %d held", trunks, n, len(opening)+len(up), len(channels))
				}
				on, to := map[uint32]int{}, map[uint32]int{}
				for _, c := range channels {
					if on[c]++; on[c] > l.ChannelsPerConnection {
						t.Fatalf("%d channels on trunk %d", on[c], c)
					}
				}
				for _, m := range []map[uint32]uint32{opening, up} {
					for _, s := range m {
						if to[s]++; to[s] > l.ConnectionsPerServer {
							t.Fatalf("%d trunks to %d", to[s], s)
						}
					}
				}
			},
		}
		for range 3 {
			t.Repeat(actions)
		}
	})
}
