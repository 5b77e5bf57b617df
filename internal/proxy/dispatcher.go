package proxy

import (
	"spurspread/decision"
	"spurspread/internal/eventloop"
)

// decisionCore is what the proxy needs of the decision core.
type decisionCore interface {
	Handle(now decision.Micros, ev decision.Event, out []decision.Action) []decision.Action
}

// dispatcher hands events to the decision core and has its actions carried out. An action may bring about further
// events; they wait in the queue, so that the core never handles an event in the middle of another.
type dispatcher struct {
	loop        *eventloop.Loop
	core        decisionCore
	apply       func(decision.Action)
	onEmpty     func() // called when no event is left
	events      []decision.Event
	actions     []decision.Action // reused from event to event
	dispatching bool
}

// dispatch queues an event and handles it, unless an event is being handled already.
func (d *dispatcher) dispatch(ev decision.Event) {
	d.events = append(d.events, ev)
	if d.dispatching {
		return
	}
	d.dispatching = true
	for i := 0; i < len(d.events); i++ {
		d.actions = d.core.Handle(d.loop.Now(), d.events[i], d.actions[:0])
		for _, action := range d.actions {
			d.apply(action)
		}
	}
	clear(d.events)
	d.events = d.events[:0]
	d.dispatching = false
	d.onEmpty()
}

// apply carries out an action of the decision core. One that concerns a request which is over has no effect.
func (p *Proxy) apply(action decision.Action) {
	switch action := action.(type) {
	case decision.WatchDiscovery:
		p.servers.setWatch(action.On)
	case decision.FetchServerList:
		p.servers.client.Fetch()
	case decision.ProbeServer:
		p.startProbe(action.Server)
	case decision.SetTimer:
		p.loop.After(action.Delay, func() { p.core.dispatch(decision.TimerFired{Token: action.Token}) })
	case decision.StartAttempt:
		if r, ok := p.requests.get(action.ID); ok {
			r.startAttempt(action)
		}
	case decision.Reject:
		if r, ok := p.requests.get(action.ID); ok {
			r.reject(action.RetryAfter, action.Cause)
		}
	case decision.Fail:
		if r, ok := p.requests.get(action.ID); ok {
			r.fail(action.Cause)
		}
	case decision.CancelAttempt:
		if r, ok := p.requests.get(action.ID); ok {
			r.cancelAttempt(action.Attempt)
		}
	case decision.MoveConnection:
		if r, ok := p.requests.get(action.ID); ok {
			r.handleMoveDecision(action)
		}
	}
}
