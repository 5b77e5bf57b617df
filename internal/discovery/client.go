package discovery

import (
	"fmt"
	"net/netip"

	"spurspread/internal/eventloop"
)

const (
	targetsPath    = "/api/targets"
	readBufferSize = 16 << 10 // bytes

	// callTimeout is for a call's first object. Discovery serves calls one after another and rejects those that waited
	// for a second; one that does not answer at all is given up soon enough for another before a change is due.
	callTimeout eventloop.Micros = 1_500_000
	// heartbeatInterval is how often an idle watch carries an empty line.
	heartbeatInterval eventloop.Micros = 2_000_000
	// watchIdleTimeout ends a watch without object or heartbeat.
	watchIdleTimeout = heartbeatInterval + 800_000
	// addressChangeWindow is for how long failed calls at a new address are retried here: what is published there has
	// to take effect 4 s after the address was given, and the user's own polling intervals are longer.
	addressChangeWindow eventloop.Micros = 4_000_000
	// addressChangeRetryDelay is the pause before such a retry.
	addressChangeRetryDelay eventloop.Micros = 150_000
)

// Watcher receives what a Client learns. Its methods are called on the event loop, and may call the Client.
type Watcher interface {
	// ListUpdated brings an update that has been applied to the server list.
	ListUpdated(update Update)
	// Failed reports that a call failed or that the watch ended, with the reason.
	Failed(reason error)
	// WatchStateChanged reports a new state of the subscription and the one before it, with the reason if a failure is the
	// cause, else nil. It comes before Listed or Failed of the same event, and must not call the Client but for Status.
	WatchStateChanged(before WatchState, now Status, reason error)
}

// Client watches or fetches the server list. All of its methods must be called on the event loop.
type Client struct {
	loop       *eventloop.Loop
	addr       netip.AddrPort
	list       *ServerList
	watcher    Watcher
	generation uint64 // version of the list, as counted by the discovery that published it

	watch        *call // the established watch; nil where there is none
	pendingWatch *call // a watch without its first object; nil where there is none

	// addressChanged is set from a change of address until the first object comes from there: till then the list, its
	// generation and the established watch are those of the address before.
	addressChanged bool
	retryUntil     eventloop.Micros // until when a failed watch at a changed address is retried
	retryTimer     eventloop.Ref

	calls         int              // made so far
	reportedState WatchState       // the last one that the watcher was told
	lastObjectAt  eventloop.Micros // 0: none has come
	lastByteAt    eventloop.Micros // of any call; 0: none has come

	readBuffer []byte
}

// NewClient returns a client that makes no call yet.
func NewClient(loop *eventloop.Loop, addr netip.AddrPort, list *ServerList, watcher Watcher) *Client {
	return &Client{
		loop:       loop,
		addr:       addr,
		list:       list,
		watcher:    watcher,
		readBuffer: make([]byte, readBufferSize),
	}
}

// Restore applies a list that was stored before the process started. It returns ErrMalformedList where it can't.
func (d *Client) Restore(text []byte) (Update, error) {
	update, err := d.list.Apply(text)
	d.generation = update.Generation
	return update, err
}

// Snapshot is the current list in discovery's own JSON form, with the address that published it. The text is nil from
// a change of address until the new one has answered: the generation that the list would have there is not known.
func (d *Client) Snapshot() (netip.AddrPort, []byte) {
	if d.addressChanged {
		return d.addr, nil
	}
	return d.addr, d.list.Snapshot(d.generation)
}

// Watch subscribes to changes. Where a watch is established already it stays until the new one has brought its first
// object, so that no change falls between them.
func (d *Client) Watch() {
	if d.pendingWatch != nil {
		d.pendingWatch.close()
		d.pendingWatch = nil
	}
	d.loop.Cancel(&d.retryTimer)
	d.pendingWatch = newCall(d, callSubscribing)
	d.pendingWatch.start(fmt.Sprintf("%s?stream=1&index=%d", targetsPath, d.resumeGeneration()))
	d.reportState(nil)
}

// resumeGeneration is the generation after which a new watch starts; 0 requests the full list. Generations of another
// address mean nothing to this one.
func (d *Client) resumeGeneration() uint64 {
	if d.addressChanged {
		return 0
	}
	return d.generation
}

// Watching reports whether a watch is established, pending or about to be retried.
func (d *Client) Watching() bool { return d.watch != nil || d.pendingWatch != nil || d.retryTimer != 0 }

// ChangeAddress watches another address from now on. The list stays as it is, and so does the watch at the old
// address, until the new one has brought its full list or the old one ends the watch.
func (d *Client) ChangeAddress(addr netip.AddrPort) {
	d.addr = addr
	d.addressChanged = true
	d.retryUntil = d.loop.Now() + addressChangeWindow
	d.Watch()
}

// StopWatching ends the subscription.
func (d *Client) StopWatching() {
	d.loop.Cancel(&d.retryTimer)
	for _, c := range []*call{d.watch, d.pendingWatch} {
		if c != nil {
			c.close()
		}
	}
	d.watch = nil
	d.pendingWatch = nil
	d.reportState(nil)
}

// Fetch requests the full list once.
func (d *Client) Fetch() { newCall(d, callFetching).start(targetsPath) }

// received applies one object that c brought. The first object of a pending watch makes it the established one.
func (d *Client) received(c *call, text []byte) error {
	first := c.state == callSubscribing
	switch {
	case first && d.addressChanged:
		d.addressChanged = false
	case d.watch != nil && d.watch != c:
		text = d.skipIfBehind(text)
	}
	update, err := d.list.Apply(text)
	if err != nil {
		return err
	}
	d.generation = update.Generation
	d.lastObjectAt = d.loop.Now()
	if first {
		d.establish(c)
		d.reportState(nil)
	}
	d.watcher.ListUpdated(update)
	return nil
}

// skipIfBehind replaces an object that is older than the list by an empty one of the list's generation: while one
// watch is established, another call may be answered from before that watch's last object.
func (d *Client) skipIfBehind(text []byte) []byte {
	generation, err := parseGeneration(text)
	if err == nil && generation < d.generation {
		return fmt.Appendf(nil, `{"generation":%d}`, d.generation)
	}
	return text
}

// establish puts c in the place of the watch before it.
func (d *Client) establish(c *call) {
	if d.watch != nil {
		d.watch.close()
	}
	c.state = callWatching
	d.watch = c
	d.pendingWatch = nil
}

// failed handles the failure of a call that was in the given state. A failure is reported, unless another watch is on
// its way: then that one's outcome counts.
func (d *Client) failed(state callState, reason error) {
	switch state {
	case callWatching:
		d.watch = nil
		d.reportState(reason)
		if d.pendingWatch != nil || d.retryTimer != 0 {
			return
		}
	case callSubscribing:
		d.pendingWatch = nil
		if d.retriesChangedAddress() {
			d.retryTimer = d.loop.After(addressChangeRetryDelay, d.Watch)
			d.reportState(reason)
			return
		}
		d.reportState(reason)
	}
	d.watcher.Failed(reason)
}

// retriesChangedAddress decides that a failed watch is retried without reporting it: while a changed address has not
// answered, for addressChangeWindow after the change.
func (d *Client) retriesChangedAddress() bool {
	return d.addressChanged && d.loop.Now() < d.retryUntil
}
