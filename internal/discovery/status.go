package discovery

import "spurspread/internal/eventloop"

// WatchState is where a Client's subscription stands. A watch goes from WatchSubscribing to WatchEstablished, or, where
// one is established already, from WatchRenewing to WatchEstablished; its failure leaves what is left without it.
type WatchState uint8

// The states of a subscription.
const (
	WatchNone        WatchState = iota // nothing is requested
	WatchSubscribing                   // requested, without its first object
	WatchEstablished                   // has brought an object
	WatchRenewing                      // established, and a new one is requested that has not brought its first object
	WatchRetrying                      // failed at a changed address, to be requested again shortly
)

// String is the state's name in the log.
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

// Status is what a Client knows of discovery at one time. Ages are in microseconds; -1 where nothing has come yet.
type Status struct {
	State       WatchState
	Generation  uint64           // of the list in use
	ListAge     eventloop.Micros // since the last object, from discovery
	LastByteAge eventloop.Micros // since the last byte of any call, heartbeats included
	Calls       int              // made so far, of watches and whole lists
}

// Status returns what is known now.
func (d *Client) Status() Status {
	return Status{
		State:       d.watchState(),
		Generation:  d.generation,
		ListAge:     d.age(d.lastObjectAt),
		LastByteAge: d.age(d.lastByteAt),
		Calls:       d.calls,
	}
}

// age is how long ago a time was, -1 for 0.
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

// reportState tells the watcher the state of the subscription where it has changed, with the reason if that was a
// failure. Neither state may be final: whoever is told of a failure may subscribe again.
func (d *Client) reportState(reason error) {
	before := d.reportedState
	d.reportedState = d.watchState()
	if before != d.reportedState {
		d.watcher.WatchStateChanged(before, d.Status(), reason)
	}
}
