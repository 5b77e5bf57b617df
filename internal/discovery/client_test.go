package discovery

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"spurspread/internal/eventloop"
)

// recordingWatcher is a Watcher that sends a text for each update or failure to events, and one for each change of the
// subscription's state to states. Only some tests read states.
type recordingWatcher struct {
	events chan string
	states chan string
}

func newRecordingWatcher() recordingWatcher {
	return recordingWatcher{make(chan string, 100), make(chan string, 100)}
}

func (w recordingWatcher) ListUpdated(c Update) {
	text := fmt.Sprint(c.Generation)
	for _, e := range c.Servers {
		text += " " + e.ID
	}
	w.events <- text
}

func (w recordingWatcher) Failed(error) { w.events <- "failed" }

func (w recordingWatcher) WatchStateChanged(before WatchState, now Status, _ error) {
	w.states <- fmt.Sprintf("%v->%v", before, now.State)
}

func (w recordingWatcher) want(t *testing.T, text string) {
	t.Helper()
	select {
	case got := <-w.events:
		if got != text {
			t.Fatalf("reported %q, want %q", got, text)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("%q not reported within 10 s", text)
	}
}

// fakeDiscovery is a listener on which a test answers the client's calls.
type fakeDiscovery struct {
	*net.TCPListener
	t *testing.T
}

// call accepts the next call, checks its request target and answers it.
func (f fakeDiscovery) call(target, answer string) net.Conn {
	f.t.Helper()
	_ = f.SetDeadline(time.Now().Add(10 * time.Second))
	c, err := f.Accept()
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	buf := make([]byte, 1000)
	n, _ := c.Read(buf)
	if want := "GET " + target + " HTTP/1.1\r\nHost: " + f.Addr().String() + "\r\n\r\n"; string(buf[:n]) != want {
		f.t.Fatalf("request %q, want target %q", buf[:n], target)
	}
	_, _ = c.Write([]byte(answer))
	return c
}

const watchHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

func chunk(line string) string { return fmt.Sprintf("%x\r\n%s\n\r\n", len(line)+1, line) }

func newFakeDiscovery(t *testing.T) fakeDiscovery {
	t.Helper()
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return fakeDiscovery{ln, t}
}

func (f fakeDiscovery) addr() netip.AddrPort { return netip.MustParseAddrPort(f.Addr().String()) }

// start starts a fake discovery service and a client of it, on a running event loop.
func start(t *testing.T) (fakeDiscovery, recordingWatcher, *eventloop.Loop, *Client) {
	t.Helper()
	f := newFakeDiscovery(t)
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	w := newRecordingWatcher()
	d := NewClient(l, f.addr(), NewServerList(), w)
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	t.Cleanup(func() {
		l.Post(l.Stop)
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return f, w, l, d
}

// startWatching is like start, but also establishes a watch, which has received the full list. conn is discovery's end
// of the watch.
func startWatching(t *testing.T) (f fakeDiscovery, w recordingWatcher, l *eventloop.Loop, d *Client, conn net.Conn) {
	t.Helper()
	f, w, l, d = start(t)
	l.Post(d.Watch)
	conn = f.call("/api/targets?stream=1&index=0", watchHead+chunk(fullList))
	w.want(t, "41 s1 s2")
	return f, w, l, d, conn
}

// A new watch continues from the list's generation. The established watch continues until the new one has received an
// object, so that no update is missed.
func TestNewWatchLeavesNoGap(t *testing.T) {
	f, w, l, d, first := startWatching(t)
	l.Post(d.Watch)
	second := f.call("/api/targets?stream=1&index=41", "")
	_, _ = first.Write([]byte(chunk("") + chunk(`{"generation":43,"instances":[`+server2+`]}`)))
	w.want(t, "43 s2") // from the established watch
	_, _ = second.Write([]byte(watchHead + chunk(`{"generation":42,"instances":[`+server1+`]}`)))
	w.want(t, "43") // an object older than the list changes nothing
	if n, err := first.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Fatal("the old watch is not closed after the new one has received an object")
	}
	_, _ = second.Write([]byte(chunk(`{"generation":44,"instances":[` + server1 + `]}`)))
	w.want(t, "44 s1")
	_ = second.Close()
	w.want(t, "failed")
}

// After a change of address the client requests the full list, since generations differ, and retries a failed request.
// Until the new address has answered, updates from the old one are applied, and the end of the old watch is not
// reported as a failure.
func TestChangeAddress(t *testing.T) {
	_, w, l, d, old := startWatching(t)
	next := newFakeDiscovery(t)
	l.Post(func() { d.ChangeAddress(next.addr()) })
	next.call("/api/targets?stream=1&index=0", "HTTP/1.1 503 Busy\r\n\r\n")
	_, _ = old.Write([]byte(chunk(`{"generation":43,"instances":[` + server2 + `]}`)))
	w.want(t, "43 s2")
	_ = old.Close()
	live := next.call("/api/targets?stream=1&index=0", watchHead+chunk(strings.Replace(fullList, "41", "7", 1)))
	w.want(t, "7 s1 s2")
	_, _ = live.Write([]byte(chunk(`{"generation":8,"instances":[` + server1 + `]}`)))
	w.want(t, "8 s1")
	_ = live.Close()
	w.want(t, "failed")
	l.Post(d.Watch)
	next.call("/api/targets?stream=1&index=8", "")
}

// A rejected call, a watch that ends and a malformed response are each reported as one failure.
func TestFailures(t *testing.T) {
	for name, answer := range map[string]string{
		"503": "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "garbage": "\x00\xff\r\n\r\n\r\n\r\n",
		"odd object": watchHead + chunk(`{"generation":"x"}`), "last chunk": watchHead + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			f, w, l, d := start(t)
			l.Post(d.Watch)
			f.call("/api/targets?stream=1&index=0", answer)
			w.want(t, "failed")
			l.Post(d.Fetch)
			f.call(
				"/api/targets",
				"HTTP/1.1 200 OK\r\nContent-Length: "+fmt.Sprint(len(fullList))+"\r\n\r\n"+fullList,
			)
			w.want(t, "41 s1 s2")
		})
	}
	f, w, l, d := start(t)
	_ = f.Close()
	l.Post(d.Watch)
	w.want(t, "failed")
}

// A watch without heartbeats fails, even while its connection is open.
func TestSilentWatchFails(t *testing.T) {
	_, w, _, _, _ := startWatching(t)
	w.want(t, "failed")
}

// indentedObject is an indented object whose text contains everything that could be mistaken for its end.
const indentedObject = "{\n  \"generation\": 41,\n  \"reset\": true,\n\n  \"note\": \"}]\\\" {\",\n" +
	"  \"instances\": [\n    " +
	server1 + ",\n    " + server2 + "\n  ]\n}"

// Objects on a watch may span lines, with empty lines between and within them, and arrive in parts of any size.
func TestIndentedObjectsOnAWatch(t *testing.T) {
	withCRLF := strings.ReplaceAll(indentedObject, "\n", "\r\n")
	text := indentedObject + "\n\n" + `{"generation":42,"instances":[` + server1 + "]}\n" + withCRLF + "\r\n"
	for step := 1; step <= len(text); step++ {
		c, w := newPendingWatch(t)
		for at := 0; at < len(text); at += step {
			c.receiveBody([]byte(text[at:min(at+step, len(text))]))
		}
		if c.err != nil {
			t.Fatalf("parts of %d bytes: %v, want no error", step, c.err)
		}
		for _, want := range []string{"41 s1 s2", "42 s1", "41 s1 s2"} {
			w.want(t, want)
		}
	}
}

// newPendingWatch returns a watch that has received no response. It has no connection.
func newPendingWatch(t *testing.T) (*call, recordingWatcher) {
	t.Helper()
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	w := newRecordingWatcher()
	d := NewClient(l, netip.AddrPort{}, NewServerList(), w)
	d.pendingWatch = newCall(d, callSubscribing)
	return d.pendingWatch, w
}

// An object that never ends fails the watch at maxObjectBytes, also if it consists of short lines.
func TestObjectWithoutEnd(t *testing.T) {
	c, _ := newPendingWatch(t)
	c.receiveBody([]byte("{\n"))
	for part := []byte(strings.Repeat("1", 1000) + "\n"); c.err == nil; c.receiveBody(part) {
		if len(c.object) > maxObjectBytes+2000 {
			t.Fatalf("%d bytes of an object are buffered, want at most %d", len(c.object), maxObjectBytes)
		}
	}
	if !errors.Is(c.err, ErrMalformedList) {
		t.Errorf("in lines: %v, want %v", c.err, ErrMalformedList)
	}
	c, _ = newPendingWatch(t)
	c.receiveBody([]byte(strings.Repeat("1", maxObjectBytes+1)))
	if !errors.Is(c.err, ErrTooLarge) {
		t.Errorf("without lines: %v, want %v", c.err, ErrTooLarge)
	}
}

// A watch that keeps sending but never completes an object fails like a silent one, or as soon as the object is too
// large.
func TestWatchWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct {
		part  string
		pause time.Duration // after each part
	}{
		"line by line":  {`"x": 1,`, 200 * time.Millisecond},
		"at full speed": {strings.Repeat("x", 1<<20), 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f, w, l, d := start(t)
			l.Post(d.Watch)
			conn := f.call("/api/targets?stream=1&index=0", watchHead+chunk(fullList)+chunk("{"))
			w.want(t, "41 s1 s2")
			for sent := 0; ; sent++ {
				if _, err := conn.Write([]byte(chunk(c.part))); err != nil {
					break // the client has closed it
				}
				if sent == 64 { // twelve seconds, or sixteen times maxObjectBytes
					t.Fatal("a watch that never completes an object is not closed")
				}
				time.Sleep(c.pause)
			}
			w.want(t, "failed")
		})
	}
}

// Guards against a balancer that hangs while discovery sends without a pause: a call reads a part of what has arrived,
// and the rest after the events of other sockets.
func TestWatchLeavesTurnsToOthers(t *testing.T) {
	_, w, l, d, conn := startWatching(t)
	left := make(chan bool)
	l.Post(func() {
		d.readBuffer = make([]byte, 16)
		heartbeats := strings.Repeat(chunk(""), 200)
		_, _ = conn.Write([]byte(heartbeats + chunk(`{"generation":43,"instances":[`+server2+`]}`)))
		n, err := 0, eventloop.ErrAgain
		for errors.Is(err, eventloop.ErrAgain) { // until it has arrived, in one segment
			n, err = d.watch.conn.Read(d.readBuffer)
		}
		d.watch.receive(d.readBuffer[:n])
		d.watch.Readable(d.watch.conn)
		n, err = d.watch.conn.Read(d.readBuffer)
		left <- err == nil
		d.watch.receive(d.readBuffer[:n])
	})
	if !<-left {
		t.Error("all that had arrived was read in one event, want a part of it")
	}
	w.want(t, "43 s2")
}

// After a silent watch has failed, a new watch that is silent too fails by its own timeout, and so does one that sends
// heartbeats but no object.
func TestNewWatchSilentToo(t *testing.T) {
	f, w, l, d, _ := startWatching(t)
	w.want(t, "failed")
	l.Post(d.Watch)
	second := f.call("/api/targets?stream=1&index=41", watchHead)
	for sent := 0; ; sent++ { // heartbeats alone must not keep an outdated list in use forever
		if _, err := second.Write([]byte(chunk(""))); err != nil {
			break
		}
		if sent == 60 {
			t.Fatal("a watch without an object is not closed")
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.want(t, "failed")
	l.Post(d.Watch)
	f.call("/api/targets?stream=1&index=41", watchHead+chunk(`{"generation":43,"instances":[`+server2+`]}`))
	w.want(t, "43 s2")
}

// After two changes of address, the second before the first new address has answered, only the last address is used.
// Its list is applied although its generations are lower than those of the first address.
func TestChangeAddressTwice(t *testing.T) {
	_, w, l, d, _ := startWatching(t)
	second, third := newFakeDiscovery(t), newFakeDiscovery(t)
	l.Post(func() { d.ChangeAddress(second.addr()) })
	late := second.call("/api/targets?stream=1&index=0", "")
	l.Post(func() { d.ChangeAddress(third.addr()) })
	if n, err := late.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Fatal("the call at the second address is not closed")
	}
	live := third.call(
		"/api/targets?stream=1&index=0",
		watchHead+chunk(`{"generation":3,"reset":true,"instances":[`+server2+`]}`),
	)
	w.want(t, "3 s2")
	_, _ = live.Write([]byte(chunk(`{"generation":4,"instances":[` + server1 + `]}`)))
	w.want(t, "4 s1")
}

// Each change of the subscription's state is reported, from the first request to the end of the watch, and Status
// returns the resulting status.
func TestWatchStatesAreReported(t *testing.T) {
	f, w, l, d, conn := startWatching(t)
	l.Post(d.Watch)
	second := f.call("/api/targets?stream=1&index=41", watchHead+chunk(`{"generation":42,"instances":[`+server1+`]}`))
	w.want(t, "42 s1")
	_ = conn.Close()
	_ = second.Close()
	w.want(t, "failed")
	for _, want := range []string{
		"none->subscribing", "subscribing->established", "established->renewing", "renewing->established",
		"established->none",
	} {
		if got := <-w.states; got != want {
			t.Fatalf("state %s, want %s", got, want)
		}
	}
	got := make(chan Status)
	l.Post(func() { got <- d.Status() })
	if s := <-got; s.State != WatchNone || s.Generation != 42 || s.Calls != 2 || s.ListAge < 0 || s.LastByteAge < 0 {
		t.Errorf("status %+v, want no watch, generation 42 and 2 calls", s)
	}
}
