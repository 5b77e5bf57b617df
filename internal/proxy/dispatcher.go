package proxy

import (
	"spurspread/decision"
	"spurspread/internal/eventloop"
)

// decisionCore is the interface of the decision core; tests replace it. Handle handles an event and returns out with
// the resulting actions appended.
type decisionCore interface {
	Handle(now decision.Micros, ev decision.Event, out []decision.Action) []decision.Action
}

// dispatcher passes events to the decision core and applies the resulting actions. An action may cause further events;
// they are queued, so that the core never handles an event while the actions of another are still being applied.
type dispatcher struct {
	loop        *eventloop.Loop
	core        decisionCore
	apply       func(decision.Action)
	onEmpty     func() // called when the queue has become empty
	events      []decision.Event
	actions     []decision.Action // buffer, reused for each event
	dispatching bool
}

// dispatch queues an event, and handles the queue unless a call further up the stack is already doing so.
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

// apply carries out an action of the decision core. Actions for a request that has ended have no effect.
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
