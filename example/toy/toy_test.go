package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// awaitTimeout bounds every wait; the tests do not depend on its length.
const awaitTimeout = 15 * time.Second

// installation is one of the example's installations: a balancer process in front of two nodes, and discovery.
type installation struct {
	t    *testing.T
	d    *discovery
	addr string // address for clients
}

// install starts nodes, discovery and the balancer program with an example's configuration. ports are those in the
// configuration for clients, discovery and the two nodes; free ones take their place.
func install(t *testing.T, program, config string, pushed bool, ports [4]string) *installation {
	t.Helper()
	var nodes []net.Listener
	for range 2 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		mustSucceed(t, err)
		t.Cleanup(func() { _ = ln.Close() })
		nodes = append(nodes, ln)
	}
	d := startNodes(nodes, pushed)
	list := httptest.NewServer(http.Handler(d))
	t.Cleanup(list.CloseClientConnections) // ends the watches, which list.Close would wait for
	free, err := net.Listen("tcp", "127.0.0.1:0")
	mustSucceed(t, err)
	in := &installation{t: t, d: d, addr: free.Addr().String()}
	mustSucceed(t, free.Close())
	text, err := os.ReadFile(config)
	mustSucceed(t, err)
	addrs := []string{
		in.addr,
		list.Listener.Addr().String(),
		nodes[0].Addr().String(),
		nodes[1].Addr().String(),
	}
	var replacements []string
	for i, addr := range addrs {
		documented := "127.0.0.1:" + ports[i]
		if !strings.Contains(string(text), documented) {
			t.Fatalf("%s does not contain %s", config, documented)
		}
		replacements = append(replacements, documented, addr)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	mustSucceed(t, os.WriteFile(path, []byte(strings.NewReplacer(replacements...).Replace(string(text))), 0o600))
	cmd := exec.Command(program)
	cmd.Env = []string{"GW_CONFIG=" + path, "TMPDIR=" + t.TempDir()}
	mustSucceed(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	for end := time.Now().Add(awaitTimeout); in.request("PING") != "PONG"; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the balancer did not answer PING within %v", awaitTimeout)
		}
	}
	return in
}

func mustSucceed(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// request sends one line on a new connection and returns the answer, "" if there is none.
func (in *installation) request(text string) string {
	c, err := net.Dial("tcp", in.addr)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	writeLine(c, text)
	_ = c.SetReadDeadline(time.Now().Add(awaitTimeout))
	answer, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(answer)
}

// client is a client with an established connection to a node.
type client struct {
	installation *installation
	conn         net.Conn
	reader       *bufio.Reader
	node         string
}

// open establishes a connection for a request of a class; more is appended to the request's parameters.
func (in *installation) open(id int, class, more string) *client {
	in.t.Helper()
	c, err := net.Dial("tcp", in.addr)
	mustSucceed(in.t, err)
	in.t.Cleanup(func() { _ = c.Close() })
	mustSucceed(in.t, c.SetDeadline(time.Now().Add(awaitTimeout)))
	p := &client{installation: in, conn: c, reader: bufio.NewReader(c)}
	writeLine(c, fmt.Sprintf("OPEN %x 7 c=%s,d=1200%s", id, class, more))
	up := p.readLine()
	name, ok := strings.CutPrefix(up, "UP ")
	if !ok {
		in.t.Fatalf("answer %q to the request with ID %x, want UP", up, id)
	}
	p.node = name
	return p
}

func (p *client) readLine() string {
	p.installation.t.Helper()
	text, err := p.reader.ReadString('\n')
	mustSucceed(p.installation.t, err)
	return strings.TrimSpace(text)
}

// awaitLine reads lines until one is want.
func (p *client) awaitLine(want string) {
	p.installation.t.Helper()
	for p.readLine() != want {
	}
}

// One binary serves both installations, which differ in their settings only. Lines are forwarded, a draining node loses
// its clients and gets no new ones, and, where nodes report load, a node with a high load gets no new connections.
func TestBothInstallations(t *testing.T) {
	program := filepath.Join(t.TempDir(), "spurspread")
	if out, err := exec.Command("go", "build", "-o", program,
		"spurspread/cmd/spurspread").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	pulled := install(t, program, "../config.json", false, [4]string{"8081", "8500", "9001", "9002"})
	pushed := install(t, program, "../pushed.json", true, [4]string{"8082", "8501", "9101", "9102"})

	heavy := pushed.open(1, "feed", ",g=1,h=1500000")
	heavy.awaitLine("LOAD 1500000")
	for i := range 5 {
		if p := pushed.open(2+i, "watch", ",g=2,h=20000"); p.node == heavy.node {
			t.Errorf("connection %d went to %s, want the other node: this one has no capacity left", i, p.node)
		}
	}

	for class, in := range map[string]*installation{"index-sync": pulled, "feed": pushed} {
		byNode := map[string]*client{}
		for i := 0; len(byNode) < 2 && i < 100; i++ {
			p := in.open(1000+i, class, ",h=1000")
			writeLine(p.conn, "hello")
			p.awaitLine("hello")
			byNode[p.node] = p
		}
		if len(byNode) < 2 {
			t.Fatalf("%s: all of 100 connections went to one node, want both: %v", class, byNode)
		}
		in.d.nodes[0].drain()
		in.d.notifyWatches()
		byNode["toy-1"].awaitLine("MOVE")
		writeLine(byNode["toy-2"].conn, "still there")
		byNode["toy-2"].awaitLine("still there")
		for i := range 20 {
			if p := in.open(2000+i, class, ",h=1000"); p.node != "toy-2" {
				t.Fatalf("%s: connection %d went to %s, want toy-2: the other node is draining", class, i, p.node)
			}
		}
	}
}
