package discovery

import "spurspread/internal/eventloop"

// WatchState is the state of a Client's subscription, which lasts from Watch to StopWatching or to a failure that is
// not retried, and may use several watches one after another. A new watch leads from WatchSubscribing to
// WatchEstablished, or, while another one is established, from WatchRenewing to WatchEstablished. If a watch fails, the
// state is determined by the remaining one, if any.
type WatchState uint8

// States of a subscription.
const (
	WatchNone        WatchState = iota // no watch
	WatchSubscribing                   // a watch is requested and has not received its first object
	WatchEstablished                   // a watch has received an object
	WatchRenewing                      // a watch is established, and its replacement has not received an object yet
	WatchRetrying                      // the watch failed at a changed address and is about to be requested again
)

// String returns the name of the state as it is logged.
func (s WatchState) String() string {
	switch s {
	case WatchSubscribing:
		return "subscribing"
	case WatchEstablished:
		return "established"
	case WatchRenewing:
		return "renewing"
	case WatchRetrying:
		return "retrying"
	}
	return "none"
}

// Status describes a Client's subscription and list. Ages are -1 if nothing has been received yet.
type Status struct {
	State       WatchState
	Generation  uint64           // of the current list
	ListAge     eventloop.Micros // since the last object
	LastByteAge eventloop.Micros // since the last byte of any call, including heartbeats
	Calls       int              // number of watches and fetches started
}

// Status returns the current status.
func (d *Client) Status() Status {
	return Status{
		State:       d.watchState(),
		Generation:  d.generation,
		ListAge:     d.age(d.lastObjectAt),
		LastByteAge: d.age(d.lastByteAt),
		Calls:       d.calls,
	}
}

// age returns the time since at, or -1 if at is 0.
func (d *Client) age(at eventloop.Micros) eventloop.Micros {
	if at == 0 {
		return -1
	}
	return d.loop.Now() - at
}

func (d *Client) watchState() WatchState {
	switch {
	case d.watch != nil && d.pendingWatch != nil:
		return WatchRenewing
	case d.watch != nil:
		return WatchEstablished
	case d.pendingWatch != nil:
		return WatchSubscribing
	case d.retryTimer != 0:
		return WatchRetrying
	}
	return WatchNone
}

// reportState reports the state of the subscription to the watcher if it has changed; reason is the failure that caused
// the change, or nil. The state may change again at once: a watcher that is told of a failure may subscribe again.
func (d *Client) reportState(reason error) {
	before := d.reportedState
	d.reportedState = d.watchState()
	if before != d.reportedState {
		d.watcher.WatchStateChanged(before, d.Status(), reason)
	}
}
