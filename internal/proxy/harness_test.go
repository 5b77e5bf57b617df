package proxy

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"spurspread/decision"
	"spurspread/internal/eventloop"
	"spurspread/internal/settings"
)

// testTimeout bounds every wait in these tests; no test depends on it expiring.
const testTimeout = 10 * time.Second

const harnessSettings = `{"balancers":1,"rank":0,"zone":0,"dcs":["a","b"],"skus":["m"],"discovery":"ask",
"limits":{"most_tries":4,"probes":true,"may_cancel":true,"retry_after":true,"max_retry_after":1000000,
"connect_timeout":2000000},
"rules":{"cold":23000000,"cold_from":0.13,"drain_grace":2500000,"overload_factor":3,"tip_after":1000000},
"request_classes":[{"name":"sync","slo":300000,"deadline":60000000,"effect":"read_like","streaming":true}],
"specifics":{"mode":"proxy","message_aim":[50000],"tells_delay":true}}`

// harness runs a proxy on its own event loop, between real sockets. Either the test or the real decision core makes the
// decisions.
type harness struct {
	cachedList []byte // the server list that the proxy started with
	t          *testing.T
	proxy      *Proxy
	loop       *eventloop.Loop
	decide     func(decision.Event) []decision.Action // the test's decisions; nil decides nothing
	core       *decision.Balancer                     // decides in place of the test; nil for none
	events     chan decision.Event                    // all events for the core, except server lists
	stopped    chan error
	servers    []*net.TCPListener
}

// Handle is part of decisionCore. It queues each event for the test, except server lists, which no test waits for.
func (h *harness) Handle(now decision.Micros, ev decision.Event, out []decision.Action) []decision.Action {
	if _, ok := ev.(decision.ServerListUpdate); !ok {
		h.events <- ev
	}
	if h.core != nil {
		return h.core.Handle(now, ev, out)
	}
	if h.decide != nil {
		out = append(out, h.decide(ev)...)
	}
	return out
}

// newHarness starts a proxy whose cached server list has n servers: s0, s1 and so on. decide makes the decisions; nil
// decides nothing. change, if not nil, may alter the configuration.
func newHarness(t *testing.T, n int, decide func(decision.Event) []decision.Action, change func(*Config)) *harness {
	t.Helper()
	return startHarness(t, n, decide, change, false)
}

// newHarnessWithCore is newHarness with the real decision core.
func newHarnessWithCore(t *testing.T, n int, change func(*Config)) *harness {
	t.Helper()
	return startHarness(t, n, nil, change, true)
}

func startHarness(
	t *testing.T,
	n int,
	decide func(decision.Event) []decision.Action,
	change func(*Config),
	realCore bool,
) *harness {
	t.Helper()
	h := &harness{t: t, decide: decide, events: make(chan decision.Event, 1000), stopped: make(chan error, 1)}
	var known []string
	for i := range n {
		ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		h.check(err)
		t.Cleanup(func() { _ = ln.Close() })
		h.servers = append(h.servers, ln)
		known = append(known, listEntry(fmt.Sprint("s", i), ln.Addr().String(), "Ready"))
	}
	set, err := settings.ParseJSON([]byte(harnessSettings))
	h.check(err)
	cfg := Config{
		Settings: set, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Discovery: unusedAddr(t),
		CachedList: []byte(`{"generation":1,"reset":true,"instances":[` + strings.Join(known, ",") + `]}`),
	}
	if change != nil {
		change(&cfg)
	}
	h.cachedList = cfg.CachedList
	h.loop, err = eventloop.New()
	h.check(err)
	if realCore {
		cfg.Settings.Decision.AllowProbes = false // tests would take a probe's connection for an attempt's
		h.core = decision.New(cfg.Settings.Decision, 1, decision.Micros(h.loop.Now()))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(transitionHook{t})
	h.proxy, err = start(h.loop, cfg, log, h)
	h.check(err)
	go func() {
		err := errors.New("a check failed on the loop")
		defer func() { h.stopped <- err }()
		err = h.loop.Run()
	}()
	t.Cleanup(func() {
		h.loop.Post(h.loop.Stop)
		if err := <-h.stopped; err != nil {
			t.Error(err)
		}
	})
	return h
}

// transitionHook fails the test if a request makes a transition that transitionAllowed forbids.
type transitionHook struct{ t *testing.T }

// Levels is part of logrus.Hook.
func (transitionHook) Levels() []logrus.Level { return []logrus.Level{logrus.ErrorLevel} }

// Fire is part of logrus.Hook.
func (h transitionHook) Fire(entry *logrus.Entry) error {
	if entry.Message == invalidTransition {
		h.t.Errorf("%s: from %v to %v", entry.Message, entry.Data["from"], entry.Data["to"])
	}
	return nil
}

// listEntry returns a server's entry in a list, encoded as discovery sends it. state is its lifecycle state.
func listEntry(id, addr, state string) string {
	return fmt.Sprintf(
		`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":"m","lifecycle":%q,"weight":1}`,
		id,
		addr,
		state,
	)
}

// unusedAddr returns an address at which no process listens.
func unusedAddr(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// onLoop calls f on the loop's goroutine and waits until it has returned.
func (h *harness) onLoop(f func()) {
	done := make(chan struct{})
	h.loop.Post(func() {
		defer close(done)
		f()
	})
	<-done
}

// check ends the test if err is not nil.
func (h *harness) check(err error) {
	h.t.Helper()
	if err != nil {
		h.t.Fatal(err)
	}
}

// await waits for the next event of type T and drops all events before it.
func await[T decision.Event](h *harness) T {
	h.t.Helper()
	for timeout := time.After(testTimeout); ; {
		select {
		case ev := <-h.events:
			if e, ok := ev.(T); ok {
				return e
			}
		case <-timeout:
			var none T
			h.t.Fatalf("no %T event arrived within %v", none, testTimeout)
			return none
		}
	}
}

// peer is the test's end of a connection to the proxy: a client's, or that of a server that accepted the connection.
type peer struct {
	h *harness
	*net.TCPConn
	rd *bufio.Reader
}

// newPeer wraps a new connection; a non-nil err ends the test.
func (h *harness) newPeer(c net.Conn, err error) *peer {
	h.t.Helper()
	h.check(err)
	h.check(c.SetDeadline(time.Now().Add(testTimeout)))
	h.t.Cleanup(func() { _ = c.Close() })
	return &peer{h, c.(*net.TCPConn), bufio.NewReader(c)}
}

// connect connects to the proxy and sends text.
func (h *harness) connect(text string) *peer {
	h.t.Helper()
	p := h.newPeer(net.Dial("tcp", h.proxy.Addr().String()))
	p.send(text)
	return p
}

// acceptUpstream accepts the next connection at server i.
func (h *harness) acceptUpstream(i int) *peer {
	h.t.Helper()
	h.check(h.servers[i].SetDeadline(time.Now().Add(testTimeout)))
	return h.newPeer(h.servers[i].Accept())
}

func (p *peer) send(text string) {
	p.h.t.Helper()
	_, err := p.Write([]byte(text))
	p.h.check(err)
}

// readLine reads a line and returns it with its line end.
func (p *peer) readLine() string {
	p.h.t.Helper()
	text, err := p.rd.ReadString('\n')
	if err != nil {
		p.h.t.Fatalf("read line: got %q, then %v", text, err)
	}
	return text
}

// expect reads a line, which must be text, with its line end.
func (p *peer) expect(text string) {
	p.h.t.Helper()
	if got := p.readLine(); got != text {
		p.h.t.Fatalf("got %q, want %q", got, text)
	}
}

// expectEnd waits for the end of the connection: EOF if eof is true, else a reset.
func (p *peer) expectEnd(eof bool) {
	p.h.t.Helper()
	if _, err := p.rd.ReadByte(); errors.Is(err, io.EOF) != eof || errors.Is(err, net.ErrClosed) || isTimeout(err) {
		p.h.t.Fatalf("connection ended with %v, want EOF: %v", err, eof)
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

const (
	openLine      = "OPEN 9b1f 7f3a c=sync,d=60000,x=y,g=5c\r\n"
	otherOpenLine = "OPEN 9b20 7f3a c=sync,d=60000\r\n"
)

// longTimeout is the timeout, in microseconds, of attempts that are not to time out during a test.
const longTimeout = 30_000_000

// sendToFirst starts one attempt at server 0 for each request and retries nothing.
func sendToFirst(ev decision.Event) []decision.Action {
	if req, ok := ev.(decision.Request); ok {
		return []decision.Action{decision.StartAttempt{ID: req.ID, Timeout: longTimeout}}
	}
	return nil
}

// establish establishes a request at server 0 and returns both ends of its connection.
func (h *harness) establish() (client, server *peer) {
	h.t.Helper()
	client = h.connect(openLine)
	server = h.acceptUpstream(0)
	server.readLine()
	server.send("UP r1\r\n")
	client.expect("UP r1\r\n")
	await[decision.Established](h)
	return client, server
}
