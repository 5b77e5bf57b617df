package resume

import (
	"fmt"
	"spurspread/decision/outcome"
	"testing"

	"pgregory.net/rapid"
)

const (
	t0   = UnixMillis(1_800_000_000_000)
	sec  = UnixMillis(1000)
	skew = 2 * sec
	life = 60 * sec
)

func right() Grant {
	return Grant{
		ID: ID{
			1,
		}, IssuedAt: t0, ExpiresAt: t0 + life, Class: "sync", Key: 7, Group: 5, Tenant: 9, LastDelivered: 41, Server: "s1",
		ServerStartedAt: t0 - sec,
	}
}

func line() StreamRequest {
	return StreamRequest{Class: "sync", Key: 7, Group: 5, Tenant: 9, Cursor: 41}
}

// What a balancer refuses before it asks anyone, and what it says.
func TestGateRefuses(t *testing.T) {
	for want, change := range map[Reason]func(now *UnixMillis, r *Grant, l *StreamRequest, s *ListedServer){
		Accepted:       func(*UnixMillis, *Grant, *StreamRequest, *ListedServer) {},
		NotYetValid:    func(now *UnixMillis, _ *Grant, _ *StreamRequest, _ *ListedServer) { *now = t0 - skew - 1 },
		Expired:        func(now *UnixMillis, _ *Grant, _ *StreamRequest, _ *ListedServer) { *now = t0 + life },
		TenantMismatch: func(_ *UnixMillis, _ *Grant, l *StreamRequest, _ *ListedServer) { l.Tenant++ },
		StreamMismatch: func(_ *UnixMillis, _ *Grant, l *StreamRequest, _ *ListedServer) { l.Key++ },
		CursorAhead:    func(_ *UnixMillis, _ *Grant, l *StreamRequest, _ *ListedServer) { l.Cursor++ },
		ServerGone:     func(_ *UnixMillis, _ *Grant, _ *StreamRequest, s *ListedServer) { s.StartedAt++ },
	} {
		g, r, l, s, now := NewValidator(skew, 4), right(), line(), ListedServer{true, t0 - sec}, t0
		change(&now, &r, &l, &s)
		if got := g.Claim(now, &r, &l, s); got != want || g.Rejected[want] != 1 {
			t.Errorf("%v, want %v", got, want)
		}
	}
	for _, change := range []func(*StreamRequest, *ListedServer){
		func(l *StreamRequest, _ *ListedServer) { l.Class = "watch" }, func(l *StreamRequest, _ *ListedServer) { l.Group = 0 },
		func(_ *StreamRequest, s *ListedServer) { s.Ready = false },
	} {
		g, r, l, s := NewValidator(skew, 4), right(), line(), ListedServer{true, t0 - sec}
		if change(&l, &s); g.Claim(t0, &r, &l, s) == Accepted {
			t.Errorf("%+v, %+v", l, s)
		}
	}
}

// The same token again, after each thing that may have become of it.
func TestGateAgain(t *testing.T) {
	for name, c := range map[string]struct {
		then  func(g *Validator, id ID) Reason
		told  Reason // what the client hears
		again Reason
	}{
		"in the same turn":            {func(*Validator, ID) Reason { return Accepted }, Accepted, InUse},
		"stands":                      {func(g *Validator, id ID) Reason { g.Established(id); return Accepted }, Accepted, InUse},
		"has stood":                   {func(g *Validator, id ID) Reason { g.Established(id); g.Closed(id); return Accepted }, Accepted, AlreadyUsed},
		"left without an attempt":     {func(g *Validator, id ID) Reason { g.Release(id); return Accepted }, Accepted, Accepted},
		"busy":                        {endsWith(outcome.ServerFull, true), Accepted, Accepted},
		"no socket for it":            {endsWith(outcome.Inconclusive, false), Accepted, Accepted},
		"no connection":               {endsWith(outcome.ConnectFailed, false), Unreachable, Accepted},
		"timed out":                   {endsWith(outcome.TimedOut, true), OutcomeUnknown, AlreadyUsed},
		"reset":                       {endsWith(outcome.Reset, true), OutcomeUnknown, AlreadyUsed},
		"error":                       {endsWith(outcome.ErrorResponse, true), OutcomeUnknown, AlreadyUsed},
		"cancelled before it was out": {endsWith(outcome.Cancelled, false), Accepted, Accepted},
		"cancelled after":             {endsWith(outcome.Cancelled, true), OutcomeUnknown, AlreadyUsed},
		"denied":                      {func(g *Validator, id ID) Reason { return g.RejectedByServer(id, LogGap) }, LogGap, AlreadyUsed},
		"withdrawn though it stands":  {func(g *Validator, id ID) Reason { g.Established(id); g.Release(id); return Accepted }, Accepted, InUse},
	} {
		g, r, l, s := NewValidator(skew, 4), right(), line(), ListedServer{true, t0 - sec}
		if why := g.Claim(t0, &r, &l, s); why != Accepted {
			t.Fatal(why)
		}
		if got := c.then(g, r.ID); got != c.told {
			t.Errorf("%s: told %v, want %v", name, got, c.told)
		}
		if got := g.Claim(t0+1, &r, &l, s); got != c.again {
			t.Errorf("%s: again %v, want %v", name, got, c.again)
		}
	}
}

func endsWith(st outcome.Status, reached bool) func(*Validator, ID) Reason {
	return func(g *Validator, id ID) Reason { return g.AttemptFailed(id, st, reached) }
}

// What only the server can know.
func TestKeeperRefuses(t *testing.T) {
	for name, c := range map[string]struct {
		change func(k *Registry, now *UnixMillis, r *Grant, l *StreamRequest, log *StreamLog, draining *bool)
		want   Reason
	}{
		"good":         {func(*Registry, *UnixMillis, *Grant, *StreamRequest, *StreamLog, *bool) {}, Accepted},
		"other server": {func(_ *Registry, _ *UnixMillis, r *Grant, _ *StreamRequest, _ *StreamLog, _ *bool) { r.Server = "s2" }, WrongServer},
		"other start": {func(_ *Registry, _ *UnixMillis, r *Grant, _ *StreamRequest, _ *StreamLog, _ *bool) {
			r.ServerStartedAt--
		}, ServerGone},
		"long ago": {func(_ *Registry, _ *UnixMillis, r *Grant, _ *StreamRequest, _ *StreamLog, _ *bool) {
			r.ServerStartedAt = 0
		}, ServerGone},
		"really long": {func(k *Registry, _ *UnixMillis, r *Grant, _ *StreamRequest, _ *StreamLog, _ *bool) {
			r.ServerStartedAt, k.startedAt = 0, t0-minAgeForZeroStart
		}, Accepted},
		"lasts forever": {func(_ *Registry, _ *UnixMillis, r *Grant, _ *StreamRequest, _ *StreamLog, _ *bool) {
			r.ExpiresAt = t0 + MaxLifetime + 1
		}, Malformed},
		"expired": {func(_ *Registry, now *UnixMillis, _ *Grant, _ *StreamRequest, _ *StreamLog, _ *bool) { *now += life }, Expired},
		"ahead":   {func(_ *Registry, _ *UnixMillis, _ *Grant, l *StreamRequest, _ *StreamLog, _ *bool) { l.Cursor = 42 }, CursorAhead},
		"drains":  {func(_ *Registry, _ *UnixMillis, _ *Grant, _ *StreamRequest, _ *StreamLog, d *bool) { *d = true }, ServerDraining},
		"gap": {func(_ *Registry, _ *UnixMillis, _ *Grant, _ *StreamRequest, log *StreamLog, _ *bool) {
			log.OldestCursor = 42
		}, LogGap},
		"reaches": {func(_ *Registry, _ *UnixMillis, _ *Grant, _ *StreamRequest, log *StreamLog, _ *bool) {
			log.OldestCursor = 41
		}, Accepted},
	} {
		k, r, l, now, log, draining := NewRegistry("s1", t0-sec, skew, 4), right(), line(), t0, StreamLog{}, false
		c.change(k, &now, &r, &l, &log, &draining)
		if got := k.Claim(now, &r, &l, log, draining); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// At the bound what is new is refused; what is held is never forgotten early, and makes room once it has expired.
func TestBound(t *testing.T) {
	k, l := NewRegistry("s1", t0-sec, skew, 2), line()
	present := func(now UnixMillis, id byte) Reason {
		r := right()
		r.ID, r.IssuedAt, r.ExpiresAt = ID{id}, now, now+life
		return k.Claim(now, &r, &l, StreamLog{}, false)
	}
	for i, want := range []Reason{Accepted, Accepted, TableFull} {
		if got := present(t0+UnixMillis(i), byte(i)); got != want {
			t.Errorf("%d: %v, want %v", i, got, want)
		}
	}
	k.Release(ID{1})
	if got := present(t0, 3); got != Accepted {
		t.Errorf("after a release: %v", got)
	}
	r := right()
	r.ID, r.ExpiresAt = ID{0}, t0+life
	if got := k.Claim(t0+life-1, &r, &l, StreamLog{}, false); got != InUse {
		t.Errorf("held: %v", got)
	}
	if got := present(t0+life+sec, 4); got != Accepted {
		t.Errorf("after expiry: %v", got)
	}
	if p, _, _ := k.Counts(); p != 1 {
		t.Errorf("%d held", p)
	}
}

// A clock that steps forward and back must not let a forgotten token in again.
func TestClockSteps(t *testing.T) {
	k, r, l := NewRegistry("s1", t0-sec, skew, 4), right(), line()
	present := func(now UnixMillis) Reason { return k.Claim(now, &r, &l, StreamLog{}, false) }
	if got := present(t0); got != Accepted {
		t.Fatal(got)
	}
	k.Established(r.ID)
	k.Closed(r.ID)
	other := right()
	other.ID, other.IssuedAt, other.ExpiresAt = ID{2}, t0+2*life, t0+3*life
	if got := k.Claim(t0+2*life, &other, &l, StreamLog{}, false); got != Accepted {
		t.Error(got)
	}
	if got := present(t0 + 1); got != Expired {
		t.Errorf("after the clock went forward and back: %v", got)
	}
	fresh := right()
	fresh.ID, fresh.ExpiresAt = ID{3}, t0+life+1
	if got := k.Claim(t0+2, &fresh, &l, StreamLog{}, false); got != Accepted {
		t.Errorf("a new token after that: %v", got)
	}
}

// party is a clock that may be off and may step.
type party struct{ off UnixMillis }

// attempt is one first line with a token, on its way or at the server.
type attempt struct {
	tok    int
	gate   int // below 0: a balancer without a memory
	keeper int
	state  string // sent, granted, live, over
	closed bool   // the balancer has ended it
}

// world is two balancers and two servers, with all that may happen to them.
type world struct {
	t        *rapid.T
	now      UnixMillis
	gates    [2]*Validator
	keepers  [2]*Registry
	clocks   [4]party // of the gates, then of the keepers
	starts   [2]UnixMillis
	listed   [2]UnixMillis // as balancers have it; may be old
	used     map[UnixMillis]bool
	toks     []Grant
	everLive []int
	attempts []*attempt
}

func (w *world) clock(i int) UnixMillis { return w.now + w.clocks[i].off }

func (w *world) start(k int, at UnixMillis) {
	for w.used[at] { // a start is told by a number that was none before
		at++
	}
	w.used[at] = true
	w.starts[k] = at
	w.keepers[k] = NewRegistry(fmt.Sprint("s", k), at, skew, 6)
}

// pick draws an attempt in one of the states, nil where there is none.
func (w *world) pick(states ...string) *attempt {
	var fit []*attempt
	for _, a := range w.attempts {
		for _, s := range states {
			if a.state == s {
				fit = append(fit, a)
			}
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return rapid.SampledFrom(fit).Draw(w.t, "attempt")
}

func (w *world) end(a *attempt) {
	k := w.keepers[a.keeper]
	switch a.state {
	case "granted":
		k.Release(w.toks[a.tok].ID)
	case "live":
		k.Closed(w.toks[a.tok].ID)
	}
	a.state = "over"
}

func (w *world) gateEnds(a *attempt) {
	if a.gate >= 0 && !a.closed && a.state == "live" {
		w.gates[a.gate].Closed(w.toks[a.tok].ID)
	}
	a.closed = true
}

var worldLine = StreamRequest{Class: "sync", Key: 7, Group: 5, Tenant: 9}

func (w *world) actions() map[string]func(*rapid.T) {
	bit := rapid.IntRange(0, 1)
	return map[string]func(*rapid.T){
		"mint": func(t *rapid.T) {
			g, k := bit.Draw(t, "gate"), bit.Draw(t, "keeper")
			r := right()
			r.ID = ID{byte(len(w.toks)), byte(len(w.toks) >> 8)}
			r.IssuedAt = w.clock(g)
			r.ExpiresAt, r.Server, r.ServerStartedAt = r.IssuedAt+life, fmt.Sprint("s", k), w.listed[k]
			w.toks, w.everLive = append(w.toks, r), append(w.everLive, 0)
		},
		"present": func(t *rapid.T) {
			if len(w.toks) == 0 {
				t.Skip()
			}
			i, g := rapid.IntRange(max(0, len(w.toks)-4), len(w.toks)-1).
				Draw(t, "token"),
				rapid.IntRange(-1, 1).
					Draw(t, "gate")
			r := w.toks[i]
			k := int(r.Server[1] - '0')
			if g >= 0 && w.gates[g].Claim(w.clock(g), &r, &worldLine, ListedServer{true, w.listed[k]}) != Accepted {
				return
			}
			w.attempts = append(w.attempts, &attempt{tok: i, gate: g, keeper: k, state: "sent"})
		},
		"arrive": func(t *rapid.T) {
			a := w.pick("sent")
			if a == nil {
				t.Skip()
			}
			r := w.toks[a.tok]
			why := w.keepers[a.keeper].Claim(
				w.clock(2+a.keeper),
				&r,
				&worldLine,
				StreamLog{},
				bit.Draw(t, "draining") == 1,
			)
			if why == Accepted {
				a.state = "granted"
				return
			}
			a.state = "over"
			if a.gate >= 0 && !a.closed {
				w.gates[a.gate].RejectedByServer(r.ID, why)
			}
		},
		"up": func(t *rapid.T) {
			a := w.pick("granted")
			if a == nil {
				t.Skip()
			}
			w.keepers[a.keeper].Established(w.toks[a.tok].ID)
			a.state = "live"
			w.everLive[a.tok]++
			if a.gate >= 0 && !a.closed {
				w.gates[a.gate].Established(w.toks[a.tok].ID)
			}
		},
		"give up": func(t *rapid.T) {
			a := w.pick("sent", "granted")
			if a == nil || a.closed {
				t.Skip()
			}
			a.closed = true
			if a.gate >= 0 {
				w.gates[a.gate].AttemptFailed(w.toks[a.tok].ID, rapid.SampledFrom([]outcome.Status{
					outcome.TimedOut, outcome.Reset,
					outcome.Cancelled,
				}).Draw(t, "status"), true)
			}
		},
		"never sent": func(t *rapid.T) {
			a := w.pick("sent")
			if a == nil || a.closed {
				t.Skip()
			}
			a.state, a.closed = "over", true
			if a.gate >= 0 {
				w.gates[a.gate].AttemptFailed(w.toks[a.tok].ID, rapid.SampledFrom([]outcome.Status{
					outcome.ServerFull,
					outcome.ConnectFailed, outcome.Inconclusive,
				}).Draw(t, "status"), false)
			}
		},
		"end": func(t *rapid.T) { // the server sees the end, perhaps long after the balancer's
			a := w.pick("granted", "live")
			if a == nil {
				t.Skip()
			}
			w.gateEnds(a)
			w.end(a)
		},
		"kill server": func(t *rapid.T) {
			k := bit.Draw(t, "keeper")
			for _, a := range w.attempts {
				if a.keeper == k && (a.state == "granted" || a.state == "live") {
					w.gateEnds(a)
					a.state = "over"
				}
			}
			w.start(k, w.clock(2+k))
		},
		"list": func(t *rapid.T) {
			k := bit.Draw(t, "keeper")
			w.listed[k] = w.starts[k]
		},
		"kill balancer": func(t *rapid.T) {
			g := bit.Draw(t, "gate")
			for _, a := range w.attempts {
				if a.gate == g {
					a.gate, a.closed = -1, true
				}
			}
			w.gates[g] = NewValidator(skew, 6)
		},
		"wait": func(t *rapid.T) { w.now += UnixMillis(rapid.IntRange(1, 40_000).Draw(t, "ms")) },
		"step a clock": func(t *rapid.T) {
			w.clocks[rapid.IntRange(0, 3).Draw(t, "whose")].off = UnixMillis(
				rapid.IntRange(-200_000, 200_000).Draw(t, "off"),
			)
		},
		"": func(t *rapid.T) {
			for i, n := range w.everLive {
				if n > 1 {
					t.Fatalf("token %d has been live %d times", i, n)
				}
			}
			for _, g := range w.gates {
				if p, l, s := g.Counts(); p+l+s > 6 {
					t.Fatalf("%d claims", p+l+s)
				}
			}
		},
	}
}

// Whatever happens to two balancers and two servers, a token is live once at most, and so never twice at one instant.
func TestAtMostOneLive(t *testing.T) {
	lived := 0
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: t0, used: map[UnixMillis]bool{}}
		for i := range 2 {
			w.gates[i] = NewValidator(skew, 6)
			w.start(i, t0-minAgeForZeroStart-sec*UnixMillis(1+i))
		}
		t.Repeat(w.actions())
		for _, n := range w.everLive {
			lived += n
		}
	})
	if lived == 0 {
		t.Error("no token was ever honoured")
	}
}

func TestWords(t *testing.T) {
	for r := Malformed; r < reasonCount; r++ {
		if got, ok := ParseReason([]byte(r.String())); !ok || got != r {
			t.Errorf("%v", r)
		}
	}
	if _, ok := ParseReason([]byte("honoured")); ok {
		t.Error("a refusal for no reason")
	}
}
