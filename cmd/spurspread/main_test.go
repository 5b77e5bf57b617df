package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

const example = "../../example/config.json"

// env is a configuration file with one text replaced, as the process would find it.
func env(t *testing.T, old, new string) func(string) string {
	t.Helper()
	text, err := os.ReadFile(example)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), old, new, 1)
	if old != "" && changed == string(text) {
		t.Fatalf("the example has no %q", old)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	return func(name string) string { return map[string]string{"GW_CONFIG": path}[name] }
}

// What is wrong with a configuration is said in one line.
func TestBadConfiguration(t *testing.T) {
	for want, getenv := range map[string]func(string) string{
		"GW_CONFIG names no":                              func(string) string { return "" },
		"no such file":                                    func(string) string { return "/nowhere/config.json" },
		"is not a JSON object":                            env(t, "{", "["),
		`listen "nowhere" is not an address`:              env(t, "127.0.0.1:8081", "nowhere"),
		`discovery "" is not an address`:                  env(t, `"discovery": "127.0.0.1:8500"`, `"discovery": ""`),
		`seed "zz" is not hexadecimal`:                    env(t, "8c1f30d27a5be964", "zz"),
		"settings: not a JSON object":                     env(t, `"settings": {`, `"other": {`),
		"rules.cold: missing; rules.drain_grace: missing": env(t, `"cold": 23000000, "cold_from": 0.13, "drain_grace"`, `"cold_from": 0.1, "x"`),
		"rules.cold: missing":                             env(t, `"cold": 23000000`, `"warm": 1`),
		"known: discovery's list is":                      env(t, `"generation": 1`, `"generation": "x"`),
		"listen on 192.0.2.1:8081":                        env(t, "127.0.0.1:8081", "192.0.2.1:8081"),
	} {
		err := run(getenv)
		if err == nil || !strings.Contains(oneLine(err), want) || strings.Contains(oneLine(err), "\n") {
			t.Errorf("want %q, got %v", want, err)
		}
	}
}

// TestMain lets the tests start this binary as the program itself.
func TestMain(m *testing.M) {
	if os.Getenv("SPURSPREAD_TEST_AS_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// listener stands in for discovery, which is asked but says nothing.
func listener(t *testing.T) *net.TCPListener {
	t.Helper()
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	_ = ln.SetDeadline(time.Now().Add(10 * time.Second))
	return ln
}

// asked takes the next call that comes to discovery.
func asked(t *testing.T, ln *net.TCPListener) string {
	t.Helper()
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	text, _ := bufio.NewReader(c).ReadString('\n')
	return text
}

// The program takes SIGHUP without a gap, with a good file and a bad one, and ends well on SIGTERM.
func TestSignals(t *testing.T) {
	was, is := listener(t), listener(t)
	free := listener(t)
	addr := free.Addr().String()
	_ = free.Close()
	path := env(t, "127.0.0.1:8081", addr)("GW_CONFIG")
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	write := func(discovery string) {
		changed := strings.Replace(string(text), "127.0.0.1:8500", discovery, 1)
		if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(was.Addr().String())
	cmd := exec.Command(os.Args[0])
	cmd.Env = []string{"SPURSPREAD_TEST_AS_MAIN=1", "GW_CONFIG=" + path}
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill() }()
	log := bufio.NewScanner(out)
	logged := func(what string) {
		t.Helper()
		for log.Scan() {
			if strings.Contains(log.Text(), what) {
				return
			}
		}
		t.Fatalf("the program ended without logging %q", what)
	}
	signal := func(s unix.Signal) {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	logged("started")
	if got := asked(t, was); !strings.Contains(got, "index=1 ") {
		t.Errorf("asked %q", got)
	}
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	rd := bufio.NewReader(c)
	answers := func() {
		t.Helper()
		_, _ = fmt.Fprint(c, "PING\r\n")
		if got, err := rd.ReadString('\n'); got != "PONG\r\n" {
			t.Fatalf("%q, %v", got, err)
		}
	}
	answers()
	write("nowhere")
	signal(unix.SIGHUP)
	logged("the configuration stays as it was: configuration: discovery")
	answers()
	write(is.Addr().String())
	signal(unix.SIGHUP)
	// The versions of the new address may be its own, so the whole list is asked for.
	if got := asked(t, is); !strings.Contains(got, "index=0 ") {
		t.Errorf("asked %q", got)
	}
	answers()
	signal(unix.SIGHUP)
	signal(unix.SIGTERM)
	signal(unix.SIGHUP)
	logged("draining")
	_ = c.Close()
	logged("drained")
	if err := cmd.Wait(); err != nil {
		t.Fatal(err)
	}
}

type stalled struct{ release chan struct{} }

func (s stalled) Write(b []byte) (int, error) {
	<-s.release
	return len(b), nil
}

// A log that nobody reads must not hold up the loop, nor the end of the program.
func TestStalledLogBlocksNothing(t *testing.T) {
	s := stalled{make(chan struct{})}
	defer close(s.release)
	o := newOutput(s)
	for range 10_000 {
		if _, err := o.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	o.close()
}
