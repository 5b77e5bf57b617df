package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Flags of the soak test of shutdown: the number of runs and the seed of the first. For a longer soak:
//
//	go test ./cmd/spurspread -run TestStopSoak -stops 50 -stopseed 5000 -v
var (
	stopSoakRepeats = flag.Int("stops", 4, "number of shutdowns that TestStopSoak runs")
	stopSoakSeed    = flag.Uint64("stopseed", 1, "first seed of TestStopSoak")
)

// killAfter is the time from SIGTERM after which the platform may kill the process: the longest deadline of a class,
// which is that of the example's only one, and 0.7 s.
const killAfter = 1200*time.Millisecond + 700*time.Millisecond

// stopScenario has the random parameters of one shutdown.
type stopScenario struct {
	established   int             // number of connections with lines in both directions
	idle          int             // number of connections without any data
	lateClients   []lateClient    // clients that connect during the shutdown
	reloads       []time.Duration // times of SIGHUPs, from SIGTERM on
	secondSIGTERM time.Duration   // time of a second SIGTERM, from the first; 0: none
}

// lateClient is a client that connects after SIGTERM and sends its first line in pieces.
type lateClient struct {
	after  time.Duration // from SIGTERM
	pieces []string
	pause  time.Duration // before each piece
}

// drawStopScenario draws the parameters of one shutdown.
func drawStopScenario(rng *rand.Rand) stopScenario {
	upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Float64() * float64(d)) }
	scenario := stopScenario{established: rng.IntN(20), idle: rng.IntN(60) * rng.IntN(3)}
	for i := range 12 {
		line := fmt.Sprintf("OPEN %08x 7f3a c=index-sync,d=1200\r\n", 1000+i)
		cuts := []int{0, 1 + rng.IntN(len(line)-2), len(line)}
		n := lateClient{after: upTo(800 * time.Millisecond), pause: upTo(40 * time.Millisecond)}
		for j := range len(cuts) - 1 {
			n.pieces = append(n.pieces, line[cuts[j]:cuts[j+1]])
		}
		scenario.lateClients = append(scenario.lateClients, n)
	}
	for range rng.IntN(3) {
		scenario.reloads = append(scenario.reloads, upTo(900*time.Millisecond))
	}
	if rng.IntN(2) == 0 {
		scenario.secondSIGTERM = upTo(900 * time.Millisecond)
	}
	return scenario
}

// violations collects descriptions of violated rules.
type violations struct {
	mu  sync.Mutex
	all []string
}

func (v *violations) add(format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.all = append(v.all, fmt.Sprintf(format, args...))
}

// checkEstablished reads an established connection, which must get MOVE before it ends.
func (v *violations) checkEstablished(name string, in *bufio.Reader) {
	for {
		text, err := in.ReadString('\n')
		switch {
		case strings.HasPrefix(text, "MOVE"):
			return
		case err != nil:
			v.add("%s: ended without MOVE, %q, %v", name, text, err)
			return
		}
	}
}

// checkAnswer reads the answer to a complete request, which must be UP, BUSY or ERR.
func (v *violations) checkAnswer(name string, in io.Reader) {
	text, err := bufio.NewReader(in).ReadString('\n')
	if !strings.HasPrefix(text, "UP ") && !strings.HasPrefix(text, "BUSY") && !strings.HasPrefix(text, "ERR") {
		v.add("%s: no answer to its request, %q, %v", name, text, err)
	}
}

// connect connects and sends the request in its pieces. A connection may be refused, but on an accepted one the
// request must be read and answered.
func (n lateClient) connect(name, addr string, v *violations) {
	time.Sleep(n.after)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second)) // so that a hang fails the test
	for _, piece := range n.pieces {
		time.Sleep(n.pause)
		if _, err := conn.Write([]byte(piece)); err != nil {
			v.add("%s: closed before its request was complete: %v", name, err)
			return
		}
	}
	v.checkAnswer(name, conn)
}

// streamLines sends a line every 10 ms until the connection ends.
func streamLines(conn net.Conn) {
	for i := 0; ; i++ {
		if _, err := fmt.Fprintf(conn, "line %d\r\n", i); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// run carries out the scenario with a real process, and returns the violations.
func (scenario stopScenario) run(t *testing.T) []string {
	v := &violations{}
	silentDiscovery, clients := listener(t), freePort(t)
	path, _ := writeConfig(t, append(startServers(t, nil),
		"127.0.0.1:8081", clients, "127.0.0.1:8500", silentDiscovery.Addr().String())...)
	const noSleepAtExit = "GORACE=atexit_sleep_ms=0" // the race detector would delay the exit by 1 s
	p := start(t, "GW_CONFIG="+path, "TMPDIR="+t.TempDir(), noSleepAtExit)
	var all sync.WaitGroup
	for i := range scenario.established {
		s, answer, err := open(clients, "index-sync", i)
		if err != nil || !strings.HasPrefix(answer, "UP ") {
			t.Fatalf("connection %d: answer %q, %v, want UP", i, answer, err)
		}
		t.Cleanup(func() { _ = s.c.Close() })
		go streamLines(s.c)
		all.Go(func() { v.checkEstablished(fmt.Sprint("connection ", i), s.in) })
	}
	for range scenario.idle {
		if conn, err := net.Dial("tcp", clients); err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			go func() { _, _ = io.Copy(io.Discard, conn); _ = conn.Close() }()
		}
	}
	signal := func(after time.Duration, s unix.Signal) {
		time.AfterFunc(after, func() { _ = p.cmd.Process.Signal(s) })
	}
	signal(0, unix.SIGTERM)
	for _, after := range scenario.reloads {
		signal(after, unix.SIGHUP)
	}
	if scenario.secondSIGTERM > 0 {
		signal(scenario.secondSIGTERM, unix.SIGTERM)
	}
	began := time.Now()
	for i, n := range scenario.lateClients {
		all.Go(func() { n.connect(fmt.Sprint("late client ", i, " after ", n.after), clients, v) })
	}
	drained := p.logged("drained")
	if !strings.Contains(drained, "aborted=0") {
		v.add("%s", drained)
	}
	if err := p.cmd.Wait(); err != nil {
		v.add("exit: %v", err)
	}
	if took := time.Since(began); took > killAfter {
		v.add("ended after %v, the platform may kill it after %v", took, killAfter)
	}
	all.Wait()
	return v.all
}

// Shutdowns with busy and idle connections, clients that connect late and send their request in pieces, and
// repeated signals: each request gets an answer, no established connection ends without MOVE, and the process ends in
// time.
func TestStopSoak(t *testing.T) {
	for i := range *stopSoakRepeats {
		seed := *stopSoakSeed + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			scenario := drawStopScenario(rand.New(rand.NewPCG(seed, 1)))
			for _, text := range scenario.run(t) {
				t.Errorf("seed %d: %s", seed, text)
			}
		})
	}
}

// The checks of the soak test report violations, and nothing else.
func TestStopSoakChecks(t *testing.T) {
	for name, check := range map[string]func(v *violations){
		"cut off":   func(v *violations) { v.checkEstablished("c", bufio.NewReader(strings.NewReader("line 1\r\n"))) },
		"no answer": func(v *violations) { v.checkAnswer("c", strings.NewReader("")) },
		"half":      func(v *violations) { v.checkAnswer("c", strings.NewReader("BU")) },
	} {
		v := &violations{}
		if check(v); len(v.all) != 1 {
			t.Errorf("%s: violations %q, want one", name, v.all)
		}
	}
	v := &violations{}
	v.checkEstablished("c", bufio.NewReader(strings.NewReader("line 1\r\nMOVE\r\n")))
	if v.checkAnswer("c", strings.NewReader("BUSY 1\r\n")); len(v.all) > 0 {
		t.Errorf("violations reported for correct connections: %q, want none", v.all)
	}
}
