package resume

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"spurspread/decision/outcome"
)

const (
	maxClaims   = 6
	noValidator = -1
)

// attemptState is the progress of an attempt with a token.
type attemptState int

const (
	sent     attemptState = iota // in transit to the server
	accepted                     // by the server, which has not established it yet
	live
	over
)

type attempt struct {
	token     int
	validator int // noValidator for a balancer that has lost its state
	registry  int
	state     attemptState
	closed    bool // the balancer has closed it
}

// deployment is two balancers and two servers whose clocks may be wrong, and all events that may happen to them.
type deployment struct {
	t            *rapid.T
	now          UnixMillis
	validators   [2]*Validator
	registries   [2]*Registry
	clockOffsets [4]UnixMillis // of the validators, then the registries
	startedAt    [2]UnixMillis
	listedStarts [2]UnixMillis // as listed at the balancers; may be outdated
	usedStarts   map[UnixMillis]bool
	tokens       []Grant
	timesLive    []int // how often each token has been live
	attempts     []*attempt
}

func newDeployment(t *rapid.T) *deployment {
	d := &deployment{t: t, now: t0, usedStarts: map[UnixMillis]bool{}}
	for i := range d.registries {
		d.validators[i] = NewValidator(skew, maxClaims)
		d.start(i, t0-minAgeForZeroStart-second*UnixMillis(1+i))
	}
	return d
}

func (d *deployment) validatorClock(i int) UnixMillis { return d.now + d.clockOffsets[i] }
func (d *deployment) registryClock(i int) UnixMillis {
	return d.now + d.clockOffsets[len(d.validators)+i]
}

// start starts a server at a time at which none has started before, because the start time identifies a run.
func (d *deployment) start(registry int, at UnixMillis) {
	for d.usedStarts[at] {
		at++
	}
	d.usedStarts[at] = true
	d.startedAt[registry] = at
	d.registries[registry] = NewRegistry(serverName(registry), at, skew, maxClaims)
}

func serverName(registry int) string { return fmt.Sprint("s", registry) }

// draw picks an attempt in one of the states, and skips the action if there is none.
func (d *deployment) draw(t *rapid.T, states ...attemptState) *attempt {
	var candidates []*attempt
	for _, a := range d.attempts {
		if slices.Contains(states, a.state) {
			candidates = append(candidates, a)
		}
	}
	if len(candidates) == 0 {
		t.Skip()
	}
	return rapid.SampledFrom(candidates).Draw(t, "attempt")
}

func (d *deployment) tokenID(a *attempt) ID { return d.tokens[a.token].ID }

// validatorOf returns the validator that still tracks an attempt, nil if there is none.
func (d *deployment) validatorOf(a *attempt) *Validator {
	if a.validator == noValidator || a.closed {
		return nil
	}
	return d.validators[a.validator]
}

func drawOneOfTwo(t *rapid.T, name string) int { return rapid.IntRange(0, 1).Draw(t, name) }

func (d *deployment) issue(t *rapid.T) {
	validator, registry := drawOneOfTwo(t, "validator"), drawOneOfTwo(t, "registry")
	g := testGrant()
	g.ID = ID{byte(len(d.tokens)), byte(len(d.tokens) >> 8)}
	g.IssuedAt = d.validatorClock(validator)
	g.ExpiresAt = g.IssuedAt + lifetime
	g.Server = serverName(registry)
	g.ServerStartedAt = d.listedStarts[registry]
	d.tokens = append(d.tokens, g)
	d.timesLive = append(d.timesLive, 0)
}

// present presents one of the last four tokens to a validator, or to a server directly.
func (d *deployment) present(t *rapid.T) {
	if len(d.tokens) == 0 {
		t.Skip()
	}
	token := rapid.IntRange(max(0, len(d.tokens)-4), len(d.tokens)-1).Draw(t, "token")
	validator := rapid.IntRange(noValidator, 1).Draw(t, "validator")
	g, request := d.tokens[token], testRequest()
	registry := int(g.Server[1] - '0')
	if validator != noValidator {
		server := ListedServer{Ready: true, StartedAt: d.listedStarts[registry]}
		if d.validators[validator].Claim(d.validatorClock(validator), &g, &request, server) != Accepted {
			return
		}
	}
	d.attempts = append(d.attempts, &attempt{token: token, validator: validator, registry: registry})
}

func (d *deployment) arrive(t *rapid.T) {
	a := d.draw(t, sent)
	g, request := d.tokens[a.token], testRequest()
	draining := drawOneOfTwo(t, "draining") == 1
	reason := d.registries[a.registry].Claim(d.registryClock(a.registry), &g, &request, StreamLog{}, draining)
	if reason == Accepted {
		a.state = accepted
		return
	}
	a.state = over
	if v := d.validatorOf(a); v != nil {
		v.RejectedByServer(g.ID, reason)
	}
}

func (d *deployment) establish(t *rapid.T) {
	a := d.draw(t, accepted)
	d.registries[a.registry].Established(d.tokenID(a))
	a.state = live
	d.timesLive[a.token]++
	if v := d.validatorOf(a); v != nil {
		v.Established(d.tokenID(a))
	}
}

// abandon has the balancer end an attempt that the server may still accept.
func (d *deployment) abandon(t *rapid.T) {
	a := d.draw(t, sent, accepted)
	if a.closed {
		t.Skip()
	}
	v := d.validatorOf(a)
	a.closed = true
	if v != nil {
		statuses := []outcome.Status{outcome.TimedOut, outcome.Reset, outcome.Cancelled}
		v.AttemptFailed(d.tokenID(a), rapid.SampledFrom(statuses).Draw(t, "status"), true)
	}
}

// neverSent ends an attempt that certainly does not reach the server.
func (d *deployment) neverSent(t *rapid.T) {
	a := d.draw(t, sent)
	if a.closed {
		t.Skip()
	}
	v := d.validatorOf(a)
	a.state = over
	a.closed = true
	if v != nil {
		statuses := []outcome.Status{outcome.ServerFull, outcome.ConnectFailed, outcome.Inconclusive}
		v.AttemptFailed(d.tokenID(a), rapid.SampledFrom(statuses).Draw(t, "status"), false)
	}
}

// close ends an attempt at the server, possibly long after the balancer has closed it.
func (d *deployment) close(t *rapid.T) {
	a := d.draw(t, accepted, live)
	d.closeAtValidator(a)
	registry := d.registries[a.registry]
	if a.state == accepted {
		registry.Release(d.tokenID(a))
	} else {
		registry.Closed(d.tokenID(a))
	}
	a.state = over
}

func (d *deployment) closeAtValidator(a *attempt) {
	if v := d.validatorOf(a); v != nil && a.state == live {
		v.Closed(d.tokenID(a))
	}
	a.closed = true
}

func (d *deployment) killServer(t *rapid.T) {
	registry := drawOneOfTwo(t, "registry")
	for _, a := range d.attempts {
		if a.registry == registry && (a.state == accepted || a.state == live) {
			d.closeAtValidator(a)
			a.state = over
		}
	}
	d.start(registry, d.registryClock(registry))
}

func (d *deployment) listServer(t *rapid.T) {
	registry := drawOneOfTwo(t, "registry")
	d.listedStarts[registry] = d.startedAt[registry]
}

func (d *deployment) killBalancer(t *rapid.T) {
	validator := drawOneOfTwo(t, "validator")
	for _, a := range d.attempts {
		if a.validator == validator {
			a.validator = noValidator
			a.closed = true
		}
	}
	d.validators[validator] = NewValidator(skew, maxClaims)
}

func (d *deployment) wait(t *rapid.T) {
	d.now += UnixMillis(rapid.IntRange(1, 40_000).Draw(t, "ms"))
}

func (d *deployment) stepClock(t *rapid.T) {
	clock := rapid.IntRange(0, len(d.clockOffsets)-1).Draw(t, "clock")
	d.clockOffsets[clock] = UnixMillis(rapid.IntRange(-200_000, 200_000).Draw(t, "offset"))
}

func (d *deployment) check(t *rapid.T) {
	for token, n := range d.timesLive {
		if n > 1 {
			t.Fatalf("token %d has been live %d times, want at most once", token, n)
		}
	}
	for _, v := range d.validators {
		if pending, live, used := v.Counts(); pending+live+used > maxClaims {
			t.Fatalf("%d claims, want at most the limit", pending+live+used)
		}
	}
}

func (d *deployment) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"issue":         d.issue,
		"present":       d.present,
		"arrive":        d.arrive,
		"establish":     d.establish,
		"give up":       d.abandon,
		"never sent":    d.neverSent,
		"close":         d.close,
		"kill server":   d.killServer,
		"list server":   d.listServer,
		"kill balancer": d.killBalancer,
		"wait":          d.wait,
		"step a clock":  d.stepClock,
		"":              d.check,
	}
}

// Whatever happens to two balancers and two servers, a token is live at most once, and so never twice at one instant.
func TestSingleLiveAttempt(t *testing.T) {
	lived := 0
	rapid.Check(t, func(t *rapid.T) {
		d := newDeployment(t)
		t.Repeat(d.actions())
		for _, n := range d.timesLive {
			lived += n
		}
	})
	if lived == 0 {
		t.Error("no token was ever accepted")
	}
}
