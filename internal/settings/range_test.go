package settings

import (
	"slices"
	"strings"
	"testing"

	"spurspread/decision"
	"spurspread/decision/outcome"
)

// everyKey holds each key that is read, with a realistic value.
const everyKey = minimal + `request_classes.0.name=first
request_classes.0.worth=5.0
request_classes.0.streaming=true
tenants.0.quota_per_s=3
tenants.1.portion=0.1
skus=m
weights=nominal
tick=2000
over_share_worth=0.1
limits.connect_timeout=75000
limits.most_held=1000000
limits.may_cancel=true
limits.retry_after=true
limits.max_retry_after=1000000
rules.answer_slack=8000
rules.ask_every=10000000
specifics.mode=proxy
specifics.park=0
specifics.tells_load=false
specifics.tells_delay=true
fees.cross_zone=0.1
fees.moves=0.02
fees.probe=0.001
`

// Settings that are accepted never make the decisions panic or stall. Each key in turn is left out, empty, zero, at
// both ends of the range of numbers, or invalid; if the settings are accepted, a short simulation runs with them.
func TestEndsOfRanges(t *testing.T) {
	for _, line := range strings.Split(strings.TrimSpace(everyKey), "\n") {
		key, _, _ := strings.Cut(line, "=")
		for _, value := range []string{
			"left out", "", "0", "1", "0.000001", "1e15", "-1", "NaN", "null", "push", "pass", "live",
		} {
			text := strings.Replace("\n"+everyKey, "\n"+line+"\n", "\n"+key+"="+value+"\n", 1)
			if value == "left out" {
				text = strings.Replace("\n"+everyKey, "\n"+line+"\n", "\n", 1)
			}
			s, err := ParseText([]byte(text))
			if err != nil {
				if !strings.Contains(err.Error(), key) && !strings.Contains(key, "count") {
					t.Errorf("%s=%s: %v does not name the key", key, value, err)
				}
				continue
			}
			if s.ConnectTimeout <= 0 {
				t.Errorf("%s=%s: connect timeout of %d µs, want more than 0", key, value, s.ConnectTimeout)
			}
			t.Run(key+"="+value, func(t *testing.T) { simulate(t, s.Decision) })
		}
	}
}

// simulation drives a decision.Balancer without sockets. Attempts end in each possible way in turn, and the clock jumps
// from one timer to the next.
type simulation struct {
	balancer      *decision.Balancer
	now           decision.Micros
	timers        []timer
	attemptServer map[uint32]uint32 // server of the current attempt, by request
	answered      map[uint32]bool
	attempts      map[uint32]int
}

type timer struct {
	at    decision.Micros
	token decision.TimerToken
}

// simulate sends 30 requests, which succeed, fail or find no server, to a balancer with settings s. One server is still
// warming up; midway a discovery call fails, the settings are applied again and the server list shrinks. Each request
// must get a final answer.
func simulate(t *testing.T, s decision.Settings) {
	t.Helper()
	const requests, interval, changeStep, steps = 30, 10, 150, 400
	now := decision.Micros(1_700_000_000_000_000)
	sim := &simulation{
		balancer: decision.New(s, 1, now), now: now,
		attemptServer: map[uint32]uint32{}, answered: map[uint32]bool{}, attempts: map[uint32]int{},
	}
	entries := []decision.ServerEntry{
		{Server: 1, StableID: 1, Weight: 1},
		{Server: 2, StableID: 2, Zone: 1, Cell: 1, Weight: 1, StartedAt: now},
		{Server: 3, StableID: 3, Cell: 2},
	}
	sim.handle(decision.ServerListUpdate{Kind: decision.UpdateCached, Entries: entries})
	last := uint32(0)
	for step := range steps {
		if step%interval == 0 && last < requests {
			last++
			sim.request(last)
		}
		if step == changeStep {
			sim.handle(decision.ServerListUpdate{Kind: decision.UpdateFailed})
			sim.handle(decision.SettingsChanged{Settings: s})
			sim.handle(decision.ServerListUpdate{Kind: decision.UpdateFull, Entries: entries[:2]})
		}
		sim.endAttempts(last)
		if !sim.fireNextTimer() {
			break
		}
	}
	for id := uint32(1); id <= last; id++ {
		if sim.answered[id] || sim.attemptServer[id] != 0 {
			continue
		}
		sim.now += 10_000_000
		sim.handle(decision.RequestExpired{ID: id})
		if !sim.answered[id] {
			t.Errorf("request %d got no final answer", id)
		}
	}
}

func (sim *simulation) handle(event decision.Event) {
	for _, action := range sim.balancer.Handle(sim.now, event, nil) {
		switch a := action.(type) {
		case decision.SetTimer:
			sim.timers = append(sim.timers, timer{sim.now + max(a.Delay, 1), a.Token})
		case decision.StartAttempt:
			sim.attemptServer[a.ID] = a.Server
		case decision.Reject:
			sim.answered[a.ID] = true
		case decision.Fail:
			sim.answered[a.ID] = true
		}
	}
}

func (sim *simulation) request(id uint32) {
	sim.handle(decision.Request{
		ID: id, TimeLeft: 1_000_000, Key: uint64(id), Group: uint64(id % 3), LoadHint: 100, HasLoadHint: id%2 == 0,
		Reconnected: id%5 == 0,
	})
}

// endAttempts ends the current attempts of requests 1 to last.
func (sim *simulation) endAttempts(last uint32) {
	for id := uint32(1); id <= last; id++ {
		server, underWay := sim.attemptServer[id]
		if underWay && !sim.answered[id] {
			sim.endAttempt(id, server)
		}
	}
}

func (sim *simulation) endAttempt(id, server uint32) {
	delete(sim.attemptServer, id)
	attempt := sim.attempts[id]
	sim.attempts[id]++
	ended := decision.AttemptEnded{ID: id, Attempt: attempt, Server: server}
	switch (id + uint32(sim.attempts[id])) % 4 {
	case 0:
		sim.handle(decision.Established{ID: id, Attempt: attempt, Server: server, SetupTime: 1000})
		sim.answered[id] = true
		sim.handle(decision.ConnectionMetric{
			ID: id, Attempt: attempt, Server: server, Kind: decision.MessageLatencyMetric, Value: 900,
		})
		return
	case 1:
		ended.Status = outcome.Reset
	case 2:
		ended.Status = outcome.ServerFull
	case 3:
		ended.Status = outcome.ConnectFailed
	}
	sim.handle(ended)
}

// fireNextTimer advances the clock to the earliest timer and fires it. It returns false if no timer is set.
func (sim *simulation) fireNextTimer() bool {
	if len(sim.timers) == 0 {
		return false
	}
	slices.SortFunc(sim.timers, func(a, b timer) int { return int(a.at - b.at) })
	next := sim.timers[0]
	sim.timers = sim.timers[1:]
	sim.now = max(sim.now, next.at)
	sim.handle(decision.TimerFired{Token: next.token})
	return true
}
