package discovery

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"spurspread/internal/eventloop"
	"strings"
	"testing"
	"time"
)

const (
	one      = `{"instanceId":"s1","hostPort":"127.0.0.1:1","zone":"a","machineType":"m2","cell":3,"lifecycle":"Ready","weight":1.5,"startedAtMs":7}`
	two      = `{"instanceId":"s2","hostPort":"nowhere","lifecycle":"Terminating"}`
	fullList = `{"generation":41,"reset":true,"instances":[` + one + `,` + two + `]}`
)

func TestTable(t *testing.T) {
	tab := NewServerList()
	c, err := tab.Apply([]byte(fullList))
	if err != nil || !c.Full || c.Generation != 41 || len(c.Servers) != 2 {
		t.Fatalf("%+v, %v", c, err)
	}
	want := Server{
		ID: "s1", Addr: netip.MustParseAddrPort("127.0.0.1:1"), Zone: "a", MachineType: "m2", Cell: 3, Weight: 1.5,
		StartedMillis: 7,
	}
	if s1, s2 := tab.ByID([]byte("s1")), tab.ByNumber(1); *s1 != want || s2.State != Terminating ||
		s2.Addr.IsValid() {
		t.Errorf("%+v, %+v", s1, s2)
	}
	again := NewServerList()
	if c, err := again.Apply(tab.Snapshot(41)); err != nil || !c.Full || c.Generation != 41 ||
		*again.ByNumber(0) != want ||
		*again.ByNumber(1) != *tab.ByNumber(1) {
		t.Errorf("there and back: %s, %v", tab.Snapshot(41), err)
	}
	if _, err = tab.Apply([]byte(`{"generation":42,"reset":true,"instances":[` + one + `]}`)); err != nil ||
		tab.ByNumber(1).State != Gone || tab.ByNumber(0).State != Ready || tab.ByNumber(2) != nil {
		t.Errorf("a whole list removes what it lacks: %+v, %v", tab.ByNumber(1), err)
	}
	for _, bad := range []string{
		"", "[]", "{", `{"instances":[]}`, `{"generation":1,"instances":7}`,
		`{"generation":50,"reset":true,"instances":[{"instanceId":"","lifecycle":"Ready"}]}`,
		`{"generation":50,"reset":true,"instances":[{"instanceId":"s3","lifecycle":"Odd"}]}`,
	} {
		if _, err := tab.Apply([]byte(bad)); err == nil || tab.ByNumber(0).State != Ready {
			t.Errorf("%q: %v, %+v", bad, err, tab.ByNumber(0))
		}
	}
}

// However an answer's bytes are split, its body comes out whole.
func TestResponseSplits(t *testing.T) {
	for name, c := range map[string]struct{ in, body string }{
		"chunked": {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab\r\n\r\n3;x=y\r\ncde\r\n0\r\n\r\n", "ab\r\ncde"},
		"length":  {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde", "abcde"},
		"empty":   {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
	} {
		for step := 1; step <= len(c.in); step++ {
			var got strings.Builder
			r := responseParser{onBody: func(b []byte) { got.Write(b) }}
			for at := 0; at < len(c.in); at += step {
				if err := r.feed([]byte(c.in[at:min(at+step, len(c.in))])); err != nil {
					t.Fatalf("%s, step %d: %v", name, step, err)
				}
			}
			if got.String() != c.body || r.state != stateComplete {
				t.Fatalf("%s, step %d: %q, stage %d", name, step, got.String(), r.state)
			}
		}
	}
}

func TestResponseMalformed(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for in, want := range map[string]error{
		"HTTP/1.1 503 Busy\r\n\r\n": ErrStatus, "SSH-2.0\r\n\r\n": ErrMalformedResponse, strings.Repeat("x", maxHeadBytes): ErrMalformedResponse,
		chunked + "zz\r\n": ErrMalformedResponse, chunked + "ffffffff\r\n": ErrMalformedResponse, chunked + "-1\r\n": ErrMalformedResponse,
		chunked + "1\r\nab": ErrMalformedResponse, chunked + strings.Repeat("0", maxHeadBytes+1): ErrMalformedResponse,
		"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n":      ErrMalformedResponse,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n": ErrMalformedResponse,
	} {
		r := responseParser{onBody: func([]byte) {}}
		if err := r.feed([]byte(in)); !errors.Is(err, want) {
			t.Errorf("%.40q: %v", in, err)
		}
	}
}

// recordingWatcher collects what a Discovery says; a Watcher.
type recordingWatcher struct{ events chan string }

func (w recordingWatcher) Listed(c Update) {
	text := fmt.Sprint(c.Generation)
	for _, e := range c.Servers {
		text += " " + e.ID
	}
	w.events <- text
}
func (w recordingWatcher) Failed(error) { w.events <- "failed" }

func (w recordingWatcher) want(t *testing.T, text string) {
	t.Helper()
	select {
	case got := <-w.events:
		if got != text {
			t.Fatalf("told %q, want %q", got, text)
		}
	case <-time.After(10 * time.Second):
		t.Fatalf("not told %q", text)
	}
}

type fakeDiscovery struct {
	*net.TCPListener
	t *testing.T
}

// call takes the next call, checks its request and answers.
func (f fakeDiscovery) call(request, answer string) net.Conn {
	f.t.Helper()
	_ = f.SetDeadline(time.Now().Add(10 * time.Second))
	c, err := f.Accept()
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	buf := make([]byte, 1000)
	n, _ := c.Read(buf)
	if want := "GET " + request + " HTTP/1.1\r\nHost: " + f.Addr().String() + "\r\n\r\n"; string(buf[:n]) != want {
		f.t.Fatalf("asked %q, not %q", buf[:n], request)
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

func start(t *testing.T) (fakeDiscovery, recordingWatcher, *eventloop.Loop, *Client) {
	t.Helper()
	f := newFakeDiscovery(t)
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	w := recordingWatcher{make(chan string, 100)}
	d := NewClient(l, f.addr(), NewServerList(), w)
	done := make(chan error, 1)
	go func() { done <- l.Run() }()
	t.Cleanup(func() {
		l.Post(l.Stop)
		<-done
	})
	return f, w, l, d
}

// watching is start with a watch that has brought the whole list; conn is discovery's end of it.
func watching(t *testing.T) (f fakeDiscovery, w recordingWatcher, l *eventloop.Loop, d *Client, conn net.Conn) {
	t.Helper()
	f, w, l, d = start(t)
	l.Post(d.Watch)
	conn = f.call("/api/targets?stream=1&index=0", watchHead+chunk(fullList))
	w.want(t, "41 s1 s2")
	return f, w, l, d, conn
}

// A watch carries the version on, and asking again keeps the old watch until the new one has answered.
func TestWatchAskedAgainLeavesNoGap(t *testing.T) {
	f, w, l, d, first := watching(t)
	l.Post(d.Watch)
	second := f.call("/api/targets?stream=1&index=41", "")
	_, _ = first.Write([]byte(chunk("") + chunk(`{"generation":43,"instances":[`+two+`]}`)))
	w.want(t, "43 s2") // the old one still counts
	_, _ = second.Write([]byte(watchHead + chunk(`{"generation":42,"instances":[`+one+`]}`)))
	w.want(t, "43") // behind what is held: an answer, but no step back
	if n, err := first.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Fatal("the old watch stays")
	}
	_, _ = second.Write([]byte(chunk(`{"generation":44,"instances":[` + one + `]}`)))
	w.want(t, "44 s1")
	_ = second.Close()
	w.want(t, "failed")
}

// A new address is asked for the whole list, whose versions are its own, and asked again where it fails. Until it has
// answered, what comes from the old one counts; that one's end is no failure.
func TestMove(t *testing.T) {
	_, w, l, d, old := watching(t)
	next := newFakeDiscovery(t)
	l.Post(func() { d.ChangeAddress(next.addr()) })
	next.call("/api/targets?stream=1&index=0", "HTTP/1.1 503 Busy\r\n\r\n")
	_, _ = old.Write([]byte(chunk(`{"generation":43,"instances":[` + two + `]}`)))
	w.want(t, "43 s2")
	_ = old.Close()
	live := next.call("/api/targets?stream=1&index=0", watchHead+chunk(strings.Replace(fullList, "41", "7", 1)))
	w.want(t, "7 s1 s2")
	_, _ = live.Write([]byte(chunk(`{"generation":8,"instances":[` + one + `]}`)))
	w.want(t, "8 s1")
	_ = live.Close()
	w.want(t, "failed")
	l.Post(d.Watch)
	next.call("/api/targets?stream=1&index=8", "")
}

// A call that is refused, or a watch that breaks or says what can't be read, is one failure.
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

// A watch that says nothing for longer than its empty lines come is dead, though its connection stands.
func TestSilentWatchFails(t *testing.T) {
	_, w, _, _, _ := watching(t)
	w.want(t, "failed")
}

// indentedObject is an object as some services print it, with all that could be taken for its end.
const indentedObject = "{\n  \"generation\": 41,\n  \"reset\": true,\n\n  \"note\": \"}]\\\" {\",\n  \"instances\": [\n    " + one + ",\n    " + two +
	"\n  ]\n}"

// Objects on a watch may span lines, with empty ones between and within, however their bytes are split.
func TestIndentedObjectsOnAWatch(t *testing.T) {
	text := indentedObject + "\n\n" + `{"generation":42,"instances":[` + one + "]}\n" + strings.ReplaceAll(
		indentedObject,
		"\n",
		"\r\n",
	) + "\r\n"
	for step := 1; step <= len(text); step++ {
		c, w := newPendingWatch(t)
		for at := 0; at < len(text); at += step {
			c.receiveBody([]byte(text[at:min(at+step, len(text))]))
		}
		if c.err != nil {
			t.Fatalf("step %d: %v", step, c.err)
		}
		for _, want := range []string{"41 s1 s2", "42 s1", "41 s1 s2"} {
			w.want(t, want)
		}
	}
}

// newPendingWatch is a watch that was asked for and has been answered nothing yet; nobody is at its other end.
func newPendingWatch(t *testing.T) (*call, recordingWatcher) {
	t.Helper()
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	w := recordingWatcher{make(chan string, 100)}
	d := NewClient(l, netip.AddrPort{}, NewServerList(), w)
	d.pendingWatch = &call{client: d, isWatch: true}
	return d.pendingWatch, w
}

// An object that goes on and on in short lines is held to the same bound, however its lines are cut.
func TestObjectWithoutEnd(t *testing.T) {
	c, _ := newPendingWatch(t)
	c.receiveBody([]byte("{\n"))
	for part := []byte(strings.Repeat("1", 1000) + "\n"); c.err == nil; c.receiveBody(part) {
		if len(c.object) > maxObjectBytes+2000 {
			t.Fatalf("%d bytes are kept", len(c.object))
		}
	}
}

// A watch that sends on and on, but never an object whole, is as dead as one that is silent; and what it sends is
// bounded.
func TestWatchWithoutEnd(t *testing.T) {
	for name, c := range map[string]struct {
		part string
		rest time.Duration
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
					break // it was given up
				}
				if sent == 64 { // twelve seconds, or sixteen times what an object may hold
					t.Fatal("all of it was taken")
				}
				time.Sleep(c.rest)
			}
			w.want(t, "failed")
		})
	}
}

// A new watch that is silent, too, fails by a time of its own; and one that began to answer, but not an object, is
// not live.
func TestNewWatchSilentToo(t *testing.T) {
	f, w, l, d, _ := watching(t)
	w.want(t, "failed")
	l.Post(d.Watch)
	second := f.call("/api/targets?stream=1&index=41", watchHead)
	for sent := 0; ; sent++ { // empty lines alone: it may not keep what the list was for ever
		if _, err := second.Write([]byte(chunk(""))); err != nil {
			break
		}
		if sent == 60 {
			t.Fatal("a watch that brings no list stays")
		}
		time.Sleep(200 * time.Millisecond)
	}
	w.want(t, "failed")
	l.Post(d.Watch)
	f.call("/api/targets?stream=1&index=41", watchHead+chunk(`{"generation":43,"instances":[`+two+`]}`))
	w.want(t, "43 s2")
}

// A move while the watch is silent, and again before the new address has answered: only the last counts, and its
// versions are its own though they are lower.
func TestMovedTwice(t *testing.T) {
	_, w, l, d, _ := watching(t)
	second, third := newFakeDiscovery(t), newFakeDiscovery(t)
	l.Post(func() { d.ChangeAddress(second.addr()) })
	late := second.call("/api/targets?stream=1&index=0", "")
	l.Post(func() { d.ChangeAddress(third.addr()) })
	if n, err := late.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Fatal("the call at the address between stays")
	}
	live := third.call(
		"/api/targets?stream=1&index=0",
		watchHead+chunk(`{"generation":3,"reset":true,"instances":[`+two+`]}`),
	)
	w.want(t, "3 s2")
	_, _ = live.Write([]byte(chunk(`{"generation":4,"instances":[` + one + `]}`)))
	w.want(t, "4 s1")
}
