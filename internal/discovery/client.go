package discovery

import (
	"fmt"
	"net/netip"

	"spurspread/internal/eventloop"
)

const (
	targetsPath    = "/api/targets"
	readBufferSize = 16 << 10 // bytes

	// callTimeout limits the wait for a call's first object. Discovery serves one call at a time and rejects a call
	// that has waited for 1 s, so that it answers within this time if it works. After a timeout there is still time for
	// another call before a change has to take effect.
	callTimeout eventloop.Micros = 1_500_000
	// heartbeatInterval is the time between the empty lines that discovery sends on an idle watch.
	heartbeatInterval eventloop.Micros = 2_000_000
	// watchIdleTimeout limits the time without an object or heartbeat on an established watch.
	watchIdleTimeout = heartbeatInterval + 800_000
	// addressChangeWindow is the time after a change of address in which the client itself retries failed watches: the
	// list published at the new address has to take effect within 4 s, and the caller's polling intervals are longer.
	addressChangeWindow eventloop.Micros = 4_000_000
	// addressChangeRetryDelay is the delay before such a retry.
	addressChangeRetryDelay eventloop.Micros = 150_000
)

// Watcher is notified of updates and failures. Its methods are called on the event loop, and may call the Client unless
// stated otherwise.
type Watcher interface {
	// ListUpdated reports an update, after it has been applied to the server list.
	ListUpdated(update Update)
	// Failed reports that a call has failed or that the watch has ended, with the reason. It is not called for a watch
	// that the client itself retries or that another watch is about to replace.
	Failed(reason error)
	// WatchStateChanged reports a change of the subscription's state. reason is the failure that caused it, or nil. It
	// is called before ListUpdated or Failed of the same event, and may call only the Client's Status method.
	WatchStateChanged(before WatchState, now Status, reason error)
}

// Client watches or fetches the server list. Its methods must be called on the event loop.
type Client struct {
	loop       *eventloop.Loop
	addr       netip.AddrPort
	list       *ServerList
	watcher    Watcher
	generation uint64 // version of the list, assigned by the discovery service that published it; 0: no list yet

	watch        *call // the established watch; nil if there is none
	pendingWatch *call // a watch that has not received its first object; nil if there is none

	// addressChanged is true from a change of address until a watch at the new one has received its first object. Until
	// then the list, its generation and the established watch are those of the previous address.
	addressChanged bool
	retryUntil     eventloop.Micros // end of the addressChangeWindow
	retryTimer     eventloop.Ref

	calls         int              // number of calls made
	reportedState WatchState       // last state reported to the watcher
	lastObjectAt  eventloop.Micros // 0: none received yet
	lastByteAt    eventloop.Micros // of any call; 0: none received yet

	readBuffer []byte
}

// NewClient returns a client. It makes no call before Watch or Fetch.
func NewClient(loop *eventloop.Loop, addr netip.AddrPort, list *ServerList, watcher Watcher) *Client {
	return &Client{
		loop:       loop,
		addr:       addr,
		list:       list,
		watcher:    watcher,
		readBuffer: make([]byte, readBufferSize),
	}
}

// Restore applies a list that an earlier process has stored. It returns ErrMalformedList if the list can't be parsed.
func (d *Client) Restore(text []byte) (Update, error) {
	update, err := d.list.Apply(text)
	d.generation = update.Generation
	return update, err
}

// Snapshot returns the current list in discovery's JSON format and the address that published it. From a change of
// address until the new address has answered, the JSON is nil: the list's generation there is not known yet.
func (d *Client) Snapshot() (netip.AddrPort, []byte) {
	if d.addressChanged {
		return d.addr, nil
	}
	return d.addr, d.list.Snapshot(d.generation)
}

// Watch subscribes to changes. An established watch continues until the new one has received its first object, so that
// no change is missed in between.
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

// resumeGeneration returns the generation after which a new watch is to continue; 0 requests the full list. It is 0
// after a change of address, since each discovery service numbers its generations independently.
func (d *Client) resumeGeneration() uint64 {
	if d.addressChanged {
		return 0
	}
	return d.generation
}

// Watching reports whether a watch is established, pending or scheduled for a retry.
func (d *Client) Watching() bool { return d.watch != nil || d.pendingWatch != nil || d.retryTimer != 0 }

// ChangeAddress starts a watch at another address. Until the full list has arrived from there, the client keeps the
// list that it has, and does not close the watch at the old address.
func (d *Client) ChangeAddress(addr netip.AddrPort) {
	d.addr = addr
	d.addressChanged = true
	d.retryUntil = d.loop.Now() + addressChangeWindow
	d.Watch()
}

// StopWatching closes the established and the pending watch, and cancels a scheduled retry.
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

// Fetch requests the full list once, independently of a watch.
func (d *Client) Fetch() { newCall(d, callFetching).start(targetsPath) }

// applyObject applies one object received by c. The first object of a pending watch makes it the established watch.
func (d *Client) applyObject(c *call, text []byte) error {
	first := c.state == callSubscribing
	switch {
	case first && d.addressChanged:
		d.addressChanged = false
	case d.watch != nil && d.watch != c:
		text = d.skipIfOutdated(text)
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

// skipIfOutdated replaces an object that is older than the list by an empty update of the list's generation. While one
// watch is established, the response to another call may be older than that watch's last object.
func (d *Client) skipIfOutdated(text []byte) []byte {
	generation, err := parseGeneration(text)
	if err == nil && generation < d.generation {
		return fmt.Appendf(nil, `{"generation":%d}`, d.generation)
	}
	return text
}

// establish makes c the established watch and closes the previous one.
func (d *Client) establish(c *call) {
	if d.watch != nil {
		d.watch.close()
	}
	c.state = callWatching
	d.watch = c
	d.pendingWatch = nil
}

// handleFailure handles the failure of a call that was in the given state. The failure is reported to the watcher,
// unless another watch is pending or scheduled: then only the outcome of that one is reported.
func (d *Client) handleFailure(state callState, reason error) {
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

// retriesChangedAddress reports whether a failed watch is retried without reporting the failure: after a change of
// address, for addressChangeWindow and until the new address has answered.
func (d *Client) retriesChangedAddress() bool {
	return d.addressChanged && d.loop.Now() < d.retryUntil
}
