package settings

import (
	"slices"
	"spurspread/decision"
	"spurspread/decision/outcome"
	"strings"
	"testing"
)

// every holds each key that is read, with a value that some deployment has.
const every = minimal + `request_classes.0.name=first
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

// Whatever settings are taken, the decisions made by them neither panic nor stand still: each key is left out,
// zero, empty, and at both ends of what is a number, and a small day is played.
func TestEndsOfRanges(t *testing.T) {
	for _, line := range strings.Split(strings.TrimSpace(every), "\n") {
		key, _, _ := strings.Cut(line, "=")
		for _, value := range []string{"left out", "", "0", "1", "0.000001", "1e15", "-1", "NaN", "null", "push", "pass", "live"} {
			text := strings.Replace("\n"+every, "\n"+line+"\n", "\n"+key+"="+value+"\n", 1)
			if value == "left out" {
				text = strings.Replace("\n"+every, "\n"+line+"\n", "\n", 1)
			}
			s, err := ParseText([]byte(text))
			if err != nil {
				if !strings.Contains(err.Error(), key) && !strings.Contains(key, "count") {
					t.Errorf("%s=%s: %v does not name it", key, value, err)
				}
				continue
			}
			if s.ConnectTimeout <= 0 {
				t.Errorf("%s=%s: nothing connects within %d", key, value, s.ConnectTimeout)
			}
			t.Run(key+"="+value, func(t *testing.T) { play(t, s.Decision) })
		}
	}
}

// play has the decisions go through a small day: requests that are served, fail or find nobody, a cold server, a
// retuning.
func play(t *testing.T, s decision.Settings) {
	t.Helper()
	now := decision.Micros(1_700_000_000_000_000)
	b := decision.New(s, 1, now)
	type due struct {
		at    decision.Micros
		token decision.TimerToken
	}
	var timers []due
	sent, answered, asked := map[uint32]uint32{}, map[uint32]bool{}, uint32(0)
	attempts := map[uint32]int{}
	var handle func(decision.Event)
	handle = func(ev decision.Event) {
		for _, a := range b.Handle(now, ev, nil) {
			switch a := a.(type) {
			case decision.SetTimer:
				timers = append(timers, due{now + max(a.Delay, 1), a.Token})
			case decision.StartAttempt:
				sent[a.ID] = a.Server
			case decision.Reject:
				answered[a.ID] = true
			case decision.Fail:
				answered[a.ID] = true
			}
		}
	}
	entries := []decision.ServerEntry{
		{Server: 1, StableID: 1, Weight: 1},
		{Server: 2, StableID: 2, Zone: 1, Cell: 1, Weight: 1, StartedAt: now},
		{Server: 3, StableID: 3, Cell: 2},
	}
	handle(decision.ServerListUpdate{Kind: decision.UpdateCached, Entries: entries})
	for step := range 400 {
		if step%10 == 0 && asked < 30 {
			asked++
			handle(decision.Request{
				ID: asked, TimeLeft: 1_000_000, Key: uint64(asked), Group: uint64(asked % 3), LoadHint: 100, HasLoadHint: asked%2 == 0,
				Reconnected: asked%5 == 0,
			})
		}
		if step == 150 {
			handle(decision.ServerListUpdate{Kind: decision.UpdateFailed})
			handle(decision.SettingsChanged{Settings: s})
			handle(decision.ServerListUpdate{Kind: decision.UpdateFull, Entries: entries[:2]})
		}
		for id := uint32(1); id <= asked; id++ {
			server, out := sent[id]
			if !out || answered[id] {
				continue
			}
			delete(sent, id)
			attempts[id]++
			switch (id + uint32(attempts[id])) % 4 {
			case 0:
				handle(decision.Established{ID: id, Attempt: attempts[id] - 1, Server: server, SetupTime: 1000})
				answered[id] = true
				handle(
					decision.ConnectionMetric{
						ID:      id,
						Attempt: attempts[id] - 1,
						Server:  server,
						Kind:    decision.MessageLatencyMetric,
						Value:   900,
					},
				)
			case 1:
				handle(
					decision.AttemptEnded{ID: id, Attempt: attempts[id] - 1, Server: server, Status: outcome.Reset},
				)
			case 2:
				handle(
					decision.AttemptEnded{
						ID:      id,
						Attempt: attempts[id] - 1,
						Server:  server,
						Status:  outcome.ServerFull,
					},
				)
			case 3:
				handle(
					decision.AttemptEnded{
						ID:      id,
						Attempt: attempts[id] - 1,
						Server:  server,
						Status:  outcome.ConnectFailed,
					},
				)
			}
		}
		if len(timers) == 0 {
			break
		}
		slices.SortFunc(timers, func(a, b due) int { return int(a.at - b.at) })
		next := timers[0]
		timers = timers[1:]
		now = max(now, next.at)
		handle(decision.TimerFired{Token: next.token})
	}
	for id := range asked {
		if id++; !answered[id] && sent[id] == 0 {
			now += 10_000_000
			handle(decision.RequestExpired{ID: id})
			if !answered[id] {
				t.Errorf("request %d has no answer", id)
			}
		}
	}
}
