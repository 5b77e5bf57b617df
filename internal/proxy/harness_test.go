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

// patience bounds every wait of these tests; no test relies on its passing.
const patience = 10 * time.Second

const harnessSettings = `{"balancers":1,"rank":0,"zone":0,"dcs":["a","b"],"skus":["m"],"discovery":"ask",
"limits":{"most_tries":4,"probes":true,"may_cancel":true,"retry_after":true,"max_retry_after":1000000,
"connect_timeout":2000000},
"rules":{"cold":23000000,"cold_from":0.13,"drain_grace":2500000,"overload_factor":3,"tip_after":1000000},
"request_classes":[{"name":"sync","slo":300000,"deadline":60000000,"effect":"read_like","streaming":true}],
"specifics":{"mode":"proxy","message_aim":[50000],"tells_delay":true}}`

// harness is a proxy on a loop of its own, whose decisions a test writes; it runs between real sockets.
type harness struct {
	cachedList []byte // the list that the proxy started with
	t          *testing.T
	proxy      *Proxy
	loop       *eventloop.Loop
	decide     func(decision.Event) []decision.Action
	core       *decision.Balancer // decides in place of the test, where there is one
	events     chan decision.Event
	stopped    chan error
	servers    []*net.TCPListener
}

// Handle is part of decisionCore. The lists are not kept: no test waits for one.
func (g *harness) Handle(now decision.Micros, ev decision.Event, out []decision.Action) []decision.Action {
	if _, ok := ev.(decision.ServerListUpdate); !ok {
		g.events <- ev
	}
	if g.core != nil {
		return g.core.Handle(now, ev, out)
	}
	if g.decide != nil {
		out = append(out, g.decide(ev)...)
	}
	return out
}

// newHarness starts a proxy that knows n servers, s0, s1 and so on. change may alter its configuration.
func newHarness(t *testing.T, n int, decide func(decision.Event) []decision.Action, change func(*Config)) *harness {
	t.Helper()
	return startHarness(t, n, decide, change, false)
}

// newHarnessWithCore is newHarness with the program's own decision core.
func newHarnessWithCore(t *testing.T, n int, change func(*Config)) *harness {
	t.Helper()
	return startHarness(t, n, nil, change, true)
}

func startHarness(
	t *testing.T,
	n int,
	decide func(decision.Event) []decision.Action,
	change func(*Config),
	own bool,
) *harness {
	t.Helper()
	g := &harness{t: t, decide: decide, events: make(chan decision.Event, 1000), stopped: make(chan error, 1)}
	var known []string
	for i := range n {
		ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
		g.check(err)
		t.Cleanup(func() { _ = ln.Close() })
		g.servers = append(g.servers, ln)
		known = append(known, listEntry(fmt.Sprint("s", i), ln.Addr().String(), "Ready"))
	}
	set, err := settings.ParseJSON([]byte(harnessSettings))
	g.check(err)
	cfg := Config{
		Settings: set, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Discovery: closedPort(t),
		CachedList: []byte(`{"generation":1,"reset":true,"instances":[` + strings.Join(known, ",") + `]}`),
	}
	if change != nil {
		change(&cfg)
	}
	g.cachedList = cfg.CachedList
	g.loop, err = eventloop.New()
	g.check(err)
	if own {
		cfg.Settings.Decision.AllowProbes = false // a probe would be taken for an attempt
		g.core = decision.New(cfg.Settings.Decision, 1, decision.Micros(g.loop.Now()))
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.AddHook(transitionHook{t})
	g.proxy, err = start(g.loop, cfg, log, g)
	g.check(err)
	go func() {
		err := errors.New("a check failed on the loop")
		defer func() { g.stopped <- err }()
		err = g.loop.Run()
	}()
	t.Cleanup(func() {
		g.loop.Post(g.loop.Stop)
		if err := <-g.stopped; err != nil {
			t.Error(err)
		}
	})
	return g
}

// transitionHook fails the test if a request makes a transition that the table does not have.
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

func listEntry(id, addr, state string) string {
	return fmt.Sprintf(
		`{"instanceId":%q,"hostPort":%q,"zone":"a","machineType":"m","lifecycle":%q,"weight":1}`,
		id,
		addr,
		state,
	)
}

// closedPort is an address at which nobody listens.
func closedPort(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// inLoop has the loop call f and waits until it has.
func (g *harness) inLoop(f func()) {
	done := make(chan struct{})
	g.loop.Post(func() {
		defer close(done)
		f()
	})
	<-done
}

func (g *harness) check(err error) {
	g.t.Helper()
	if err != nil {
		g.t.Fatal(err)
	}
}

// event waits for the next event of type T; others before it are passed over.
func event[T decision.Event](g *harness) T {
	g.t.Helper()
	for late := time.After(patience); ; {
		select {
		case ev := <-g.events:
			if e, ok := ev.(T); ok {
				return e
			}
		case <-late:
			var none T
			g.t.Fatalf("no %T came", none)
			return none
		}
	}
}

// peer is a client, or a connection that a server accepted.
type peer struct {
	g *harness
	*net.TCPConn
	rd *bufio.Reader
}

func (g *harness) peer(c net.Conn, err error) *peer {
	g.t.Helper()
	g.check(err)
	g.check(c.SetDeadline(time.Now().Add(patience)))
	g.t.Cleanup(func() { _ = c.Close() })
	return &peer{g, c.(*net.TCPConn), bufio.NewReader(c)}
}

// client connects to the listener and says text.
func (g *harness) client(text string) *peer {
	g.t.Helper()
	p := g.peer(net.Dial("tcp", g.proxy.Addr().String()))
	p.say(text)
	return p
}

// acceptUpstream takes the next connection at server i.
func (g *harness) acceptUpstream(i int) *peer {
	g.t.Helper()
	g.check(g.servers[i].SetDeadline(time.Now().Add(patience)))
	return g.peer(g.servers[i].Accept())
}

func (p *peer) say(text string) {
	p.g.t.Helper()
	_, err := p.Write([]byte(text))
	p.g.check(err)
}

func (p *peer) line() string {
	p.g.t.Helper()
	text, err := p.rd.ReadString('\n')
	if err != nil {
		p.g.t.Fatalf("after %q: %v", text, err)
	}
	return text
}

func (p *peer) want(text string) {
	p.g.t.Helper()
	if got := p.line(); got != text {
		p.g.t.Fatalf("got %q, want %q", got, text)
	}
}

// ended waits for the end of the connection, which must be plain, or a reset.
func (p *peer) ended(plain bool) {
	p.g.t.Helper()
	if _, err := p.rd.ReadByte(); errors.Is(err, io.EOF) != plain || errors.Is(err, net.ErrClosed) || isTimeout(err) {
		p.g.t.Fatalf("ended with %v, plain %v", err, plain)
	}
}

func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

const (
	openLine = "OPEN 9b1f 7f3a c=sync,d=60000,x=y,g=5c\r\n"
	another  = "OPEN 9b20 7f3a c=sync,d=60000\r\n"
)

// longTimeout is a time-out that no test waits for.
const longTimeout = 30_000_000

// sendToFirst sends every request to server 0, and nothing twice.
func sendToFirst(ev decision.Event) []decision.Action {
	if q, ok := ev.(decision.Request); ok {
		return []decision.Action{decision.StartAttempt{ID: q.ID, Timeout: longTimeout}}
	}
	return nil
}

// establish brings a connection up at server 0.
func (g *harness) establish() (client, server *peer) {
	g.t.Helper()
	client = g.client(openLine)
	server = g.acceptUpstream(0)
	server.line()
	server.say("UP r1\r\n")
	client.want("UP r1\r\n")
	event[decision.Established](g)
	return client, server
}
