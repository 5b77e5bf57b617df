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

// The soak of planned stops: -stops is how many are played, -stopseed the first seed. By hand:
//
//	go test ./cmd/spurspread -run TestStopSoak -stops 50 -stopseed 5000 -v
var (
	stopSoakRepeats = flag.Int("stops", 4, "planned stops that TestStopSoak plays")
	stopSoakSeed    = flag.Uint64("stopseed", 1, "the first seed of TestStopSoak")
)

// killAfter is when the platform may kill a process that was told to end: its longest deadline, that of the example's
// class, and 0.7 s.
const killAfter = 1200*time.Millisecond + 700*time.Millisecond

// stopPlay is what one seed draws.
type stopPlay struct {
	established int             // connections with lines in both directions
	resting     int             // connections that say nothing
	newcomers   []newcomer      // clients that come during the stop
	reloads     []time.Duration // SIGHUPs, from SIGTERM on
	again       time.Duration   // a second SIGTERM; 0: none
}

// newcomer is a client that connects some time after SIGTERM and sends its first line in pieces.
type newcomer struct {
	after  time.Duration
	pieces []string
	pause  time.Duration // before each piece
}

func drawStopPlay(rng *rand.Rand) stopPlay {
	upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Float64() * float64(d)) }
	play := stopPlay{established: rng.IntN(20), resting: rng.IntN(60) * rng.IntN(3)}
	for i := range 12 {
		line := fmt.Sprintf("OPEN %08x 7f3a c=index-sync,d=1200\r\n", 1000+i)
		cuts := []int{0, 1 + rng.IntN(len(line)-2), len(line)}
		n := newcomer{after: upTo(800 * time.Millisecond), pause: upTo(40 * time.Millisecond)}
		for j := range len(cuts) - 1 {
			n.pieces = append(n.pieces, line[cuts[j]:cuts[j+1]])
		}
		play.newcomers = append(play.newcomers, n)
	}
	for range rng.IntN(3) {
		play.reloads = append(play.reloads, upTo(900*time.Millisecond))
	}
	if rng.IntN(2) == 0 {
		play.again = upTo(900 * time.Millisecond)
	}
	return play
}

// violations collects what broke a rule.
type violations struct {
	mu  sync.Mutex
	all []string
}

func (v *violations) add(format string, args ...any) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.all = append(v.all, fmt.Sprintf(format, args...))
}

// checkEstablished reads an established connection to its end: MOVE has to come before it.
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

// checkAnswer reads the answer to a whole first line: any final one will do, but one has to come.
func (v *violations) checkAnswer(name string, in io.Reader) {
	text, err := bufio.NewReader(in).ReadString('\n')
	if !strings.HasPrefix(text, "UP ") && !strings.HasPrefix(text, "BUSY") && !strings.HasPrefix(text, "ERR") {
		v.add("%s: no answer to its request, %q, %v", name, text, err)
	}
}

// come plays a newcomer. Only one that could send its line whole, on a connection that was accepted, is owed an answer.
func (n newcomer) come(name, addr string, v *violations) {
	time.Sleep(n.after)
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second)) // only so that a fault ends the test
	for _, piece := range n.pieces {
		time.Sleep(n.pause)
		if _, err := conn.Write([]byte(piece)); err != nil {
			v.add("%s: closed before its request was whole: %v", name, err)
			return
		}
	}
	v.checkAnswer(name, conn)
}

// streamLines sends lines on an established connection until that ends.
func streamLines(conn net.Conn) {
	for i := 0; ; i++ {
		if _, err := fmt.Fprintf(conn, "line %d\r\n", i); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// play runs one stop of a real process, and returns what broke a rule.
func (play stopPlay) play(t *testing.T) []string {
	v := &violations{}
	silent, clients := listener(t), freePort(t)
	path, _ := configured(t, append(startServers(t, nil),
		"127.0.0.1:8081", clients, "127.0.0.1:8500", silent.Addr().String())...)
	const noSleepAtExit = "GORACE=atexit_sleep_ms=0" // the race detector's second before the exit is not the program's
	p := start(t, "GW_CONFIG="+path, "TMPDIR="+t.TempDir(), noSleepAtExit)
	var all sync.WaitGroup
	for i := range play.established {
		s, answer, err := open(clients, "index-sync", i)
		if err != nil || !strings.HasPrefix(answer, "UP ") {
			t.Fatalf("connection %d: %q, %v", i, answer, err)
		}
		t.Cleanup(func() { _ = s.c.Close() })
		go streamLines(s.c)
		all.Go(func() { v.checkEstablished(fmt.Sprint("connection ", i), s.in) })
	}
	for range play.resting {
		if conn, err := net.Dial("tcp", clients); err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			go func() { _, _ = io.Copy(io.Discard, conn); _ = conn.Close() }()
		}
	}
	signal := func(after time.Duration, s unix.Signal) {
		time.AfterFunc(after, func() { _ = p.cmd.Process.Signal(s) })
	}
	signal(0, unix.SIGTERM)
	for _, after := range play.reloads {
		signal(after, unix.SIGHUP)
	}
	if play.again > 0 {
		signal(play.again, unix.SIGTERM)
	}
	began := time.Now()
	for i, n := range play.newcomers {
		all.Go(func() { n.come(fmt.Sprint("newcomer ", i, " after ", n.after), clients, v) })
	}
	drained := p.logged("drained")
	if !strings.Contains(drained, "aborted=0") {
		v.add("%s", drained)
	}
	if err := p.cmd.Wait(); err != nil {
		v.add("exit: %v", err)
	}
	if took := time.Since(began); took > killAfter {
		v.add("ended after %v, may be killed after %v", took, killAfter)
	}
	all.Wait()
	return v.all
}

// Planned stops with connections in use, resting ones, clients that come meanwhile with their line in pieces, and
// signals in series: each request has an answer, nobody is cut off without MOVE, and the process ends in time.
func TestStopSoak(t *testing.T) {
	for i := range *stopSoakRepeats {
		seed := *stopSoakSeed + uint64(i)
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			play := drawStopPlay(rand.New(rand.NewPCG(seed, 1)))
			for _, text := range play.play(t) {
				t.Errorf("seed %d: %s", seed, text)
			}
		})
	}
}

// The soak's checks find what they are for.
func TestStopSoakChecks(t *testing.T) {
	for name, check := range map[string]func(v *violations){
		"cut off":   func(v *violations) { v.checkEstablished("c", bufio.NewReader(strings.NewReader("line 1\r\n"))) },
		"no answer": func(v *violations) { v.checkAnswer("c", strings.NewReader("")) },
		"half":      func(v *violations) { v.checkAnswer("c", strings.NewReader("BU")) },
	} {
		v := &violations{}
		if check(v); len(v.all) != 1 {
			t.Errorf("%s: %q", name, v.all)
		}
	}
	v := &violations{}
	v.checkEstablished("c", bufio.NewReader(strings.NewReader("line 1\r\nMOVE\r\n")))
	if v.checkAnswer("c", strings.NewReader("BUSY 1\r\n")); len(v.all) > 0 {
		t.Errorf("sound ones: %q", v.all)
	}
}
