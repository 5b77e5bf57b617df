package resume

import (
	"testing"

	"spurspread/decision/outcome"
)

const (
	t0       = UnixMillis(1_800_000_000_000)
	second   = UnixMillis(1000)
	skew     = 2 * second
	lifetime = 60 * second
)

func testGrant() Grant {
	return Grant{
		ID:              ID{1},
		IssuedAt:        t0,
		ExpiresAt:       t0 + lifetime,
		Class:           "sync",
		Key:             7,
		Group:           5,
		Tenant:          9,
		LastDelivered:   41,
		Server:          "s1",
		ServerStartedAt: t0 - second,
	}
}

func testRequest() StreamRequest {
	return StreamRequest{Class: "sync", Key: 7, Group: 5, Tenant: 9, Cursor: 41}
}

// presented holds the inputs of a validator's decision; they are acceptable unless changed.
type presented struct {
	now     UnixMillis
	grant   Grant
	request StreamRequest
	server  ListedServer
}

func acceptable() presented {
	return presented{
		now:     t0,
		grant:   testGrant(),
		request: testRequest(),
		server:  ListedServer{Ready: true, StartedAt: t0 - second},
	}
}

func (p *presented) claim(v *Validator) Reason { return v.Claim(p.now, &p.grant, &p.request, p.server) }

// A balancer rejects these tokens before a server is involved, for these reasons.
func TestValidatorRejects(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*presented)
		want   Reason
	}{
		"acceptable":           {func(*presented) {}, Accepted},
		"issued in the future": {func(p *presented) { p.now = t0 - skew - 1 }, NotYetValid},
		"expired":              {func(p *presented) { p.now = t0 + lifetime }, Expired},
		"another tenant":       {func(p *presented) { p.request.Tenant++ }, TenantMismatch},
		"another key":          {func(p *presented) { p.request.Key++ }, StreamMismatch},
		"another class":        {func(p *presented) { p.request.Class = "watch" }, StreamMismatch},
		"another group":        {func(p *presented) { p.request.Group = 0 }, StreamMismatch},
		"cursor ahead":         {func(p *presented) { p.request.Cursor++ }, CursorAhead},
		"server restarted":     {func(p *presented) { p.server.StartedAt++ }, ServerGone},
		"server not ready":     {func(p *presented) { p.server.Ready = false }, ServerGone},
	} {
		v, p := NewValidator(skew, 4), acceptable()
		c.change(&p)
		if got := p.claim(v); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
		if v.Verdicts[c.want] != 1 {
			t.Errorf("%s: not counted as %v", name, c.want)
		}
	}
}

// The same token is presented again, after each possible end of its first attempt and while that is pending or live.
func TestTokenPresentedAgain(t *testing.T) {
	for name, c := range map[string]struct {
		then   func(v *Validator, id ID) Reason
		reason Reason // the reason that the client gets
		again  Reason
	}{
		"first attempt pending":        {func(*Validator, ID) Reason { return Accepted }, Accepted, InUse},
		"established":                  {established, Accepted, InUse},
		"closed":                       {closed, Accepted, AlreadyUsed},
		"released without an attempt":  {released, Accepted, Accepted},
		"released though established":  {releasedEstablished, Accepted, InUse},
		"server full":                  {attemptFailed(outcome.ServerFull, true), Accepted, Accepted},
		"no socket for the attempt":    {attemptFailed(outcome.Inconclusive, false), Accepted, Accepted},
		"connect failed":               {attemptFailed(outcome.ConnectFailed, false), Unreachable, Accepted},
		"timed out":                    {attemptFailed(outcome.TimedOut, true), OutcomeUnknown, AlreadyUsed},
		"reset":                        {attemptFailed(outcome.Reset, true), OutcomeUnknown, AlreadyUsed},
		"error":                        {attemptFailed(outcome.ErrorResponse, true), OutcomeUnknown, AlreadyUsed},
		"cancelled before it was sent": {attemptFailed(outcome.Cancelled, false), Accepted, Accepted},
		"cancelled after it was sent":  {attemptFailed(outcome.Cancelled, true), OutcomeUnknown, AlreadyUsed},
		"rejected by the server":       {rejectedByServer, LogGap, AlreadyUsed},
	} {
		v, p := NewValidator(skew, 4), acceptable()
		if reason := p.claim(v); reason != Accepted {
			t.Fatalf("%s: first claim: %v, want %v", name, reason, Accepted)
		}
		if got := c.then(v, p.grant.ID); got != c.reason {
			t.Errorf("%s: %v, want %v", name, got, c.reason)
		}
		p.now++
		if got := p.claim(v); got != c.again {
			t.Errorf("%s: presented again: %v, want %v", name, got, c.again)
		}
	}
}

func established(v *Validator, id ID) Reason {
	v.Established(id)
	return Accepted
}

func closed(v *Validator, id ID) Reason {
	v.Established(id)
	v.Closed(id)
	return Accepted
}

func released(v *Validator, id ID) Reason {
	v.Release(id)
	return Accepted
}

func releasedEstablished(v *Validator, id ID) Reason {
	v.Established(id)
	v.Release(id)
	return Accepted
}

func rejectedByServer(v *Validator, id ID) Reason { return v.RejectedByServer(id, LogGap) }

func attemptFailed(status outcome.Status, requestSent bool) func(*Validator, ID) Reason {
	return func(v *Validator, id ID) Reason { return v.AttemptFailed(id, status, requestSent) }
}

// arrived holds the inputs of a registry's decision; they are acceptable unless changed.
type arrived struct {
	registry *Registry
	now      UnixMillis
	grant    Grant
	request  StreamRequest
	log      StreamLog
	draining bool
}

func testRegistry(maxClaims int) *Registry { return NewRegistry("s1", t0-second, skew, maxClaims) }

// Only the server can make these decisions.
func TestRegistryRejects(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*arrived)
		want   Reason
	}{
		"acceptable":              {func(*arrived) {}, Accepted},
		"another server":          {func(a *arrived) { a.grant.Server = "s2" }, WrongServer},
		"another run":             {func(a *arrived) { a.grant.ServerStartedAt-- }, ServerGone},
		"no start time":           {func(a *arrived) { a.grant.ServerStartedAt = 0 }, ServerGone},
		"long-running server":     {serverRunsLong, Accepted},
		"lifetime too long":       {func(a *arrived) { a.grant.ExpiresAt = t0 + MaxLifetime + 1 }, Malformed},
		"expired":                 {func(a *arrived) { a.now += lifetime }, Expired},
		"cursor ahead":            {func(a *arrived) { a.request.Cursor = 42 }, CursorAhead},
		"draining":                {func(a *arrived) { a.draining = true }, ServerDraining},
		"log starts after cursor": {func(a *arrived) { a.log.OldestCursor = 42 }, LogGap},
		"log starts at cursor":    {func(a *arrived) { a.log.OldestCursor = 41 }, Accepted},
	} {
		a := arrived{registry: testRegistry(4), now: t0, grant: testGrant(), request: testRequest()}
		c.change(&a)
		if got := a.registry.Claim(a.now, &a.grant, &a.request, a.log, a.draining); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

func serverRunsLong(a *arrived) {
	a.grant.ServerStartedAt = 0
	a.registry.startedAt = t0 - minAgeForZeroStart
}

// A full table rejects new tokens; a claim is never dropped early, and makes room once it has expired.
func TestTableIsBounded(t *testing.T) {
	r, request := testRegistry(2), testRequest()
	claim := func(now UnixMillis, id byte) Reason {
		g := testGrant()
		g.ID, g.IssuedAt, g.ExpiresAt = ID{id}, now, now+lifetime
		return r.Claim(now, &g, &request, StreamLog{}, false)
	}
	for i, want := range []Reason{Accepted, Accepted, TableFull} {
		if got := claim(t0+UnixMillis(i), byte(i)); got != want {
			t.Errorf("claim %d: %v, want %v", i, got, want)
		}
	}
	r.Release(ID{1})
	if got := claim(t0, 3); got != Accepted {
		t.Errorf("claim after a release: %v, want %v", got, Accepted)
	}
	g := testGrant()
	g.ID, g.ExpiresAt = ID{0}, t0+lifetime
	if got := r.Claim(t0+lifetime-1, &g, &request, StreamLog{}, false); got != InUse {
		t.Errorf("claim of a pending token before it expires: %v, want %v", got, InUse)
	}
	if got := claim(t0+lifetime+second, 4); got != Accepted {
		t.Errorf("claim after another has expired: %v, want %v", got, Accepted)
	}
	if pending, _, _ := r.Counts(); pending != 1 {
		t.Errorf("%d pending, want 1", pending)
	}
}

// A clock that steps forward and back must not let a dropped token in again.
func TestClockSteps(t *testing.T) {
	r, first, request := testRegistry(4), testGrant(), testRequest()
	claim := func(now UnixMillis, g *Grant) Reason { return r.Claim(now, g, &request, StreamLog{}, false) }
	if got := claim(t0, &first); got != Accepted {
		t.Fatalf("first claim: %v, want %v", got, Accepted)
	}
	r.Established(first.ID)
	r.Closed(first.ID)
	later := testGrant()
	later.ID, later.IssuedAt, later.ExpiresAt = ID{2}, t0+2*lifetime, t0+3*lifetime
	if got := claim(t0+2*lifetime, &later); got != Accepted {
		t.Errorf("claim of a later token after the clock went forward: %v, want %v", got, Accepted)
	}
	if got := claim(t0+1, &first); got != Expired {
		t.Errorf("first token after the clock went forward and back: %v, want %v", got, Expired)
	}
	fresh := testGrant()
	fresh.ID, fresh.ExpiresAt = ID{3}, t0+lifetime+1
	if got := claim(t0+2, &fresh); got != Accepted {
		t.Errorf("a new token after the clock went back: %v, want %v", got, Accepted)
	}
}

func TestReasonWords(t *testing.T) {
	for r := Malformed; r < reasonCount; r++ {
		if got, ok := ParseReason([]byte(r.String())); !ok || got != r {
			t.Errorf("ParseReason(%q) = %v, %v, want the reason and true", r.String(), got, ok)
		}
	}
	if _, ok := ParseReason([]byte("honoured")); ok {
		t.Error("ParseReason accepted \"honoured\", the word of Accepted, want false")
	}
}
