package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"spurspread/internal/siteconfig"
	"spurspread/internal/token"
	"spurspread/lab/echo"
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

// configured writes the example with pairs of texts replaced, and returns its path and text.
func configured(t *testing.T, pairs ...string) (path, text string) {
	t.Helper()
	path = env(t, "", "")("GW_CONFIG")
	was, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	text = strings.NewReplacer(pairs...).Replace(string(was))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path, text
}

// startServers are index nodes in place of the example's, and the pairs that put them there; asked hears of each first
// line, with the node's number.
func startServers(t *testing.T, asked func(node int, first string)) (pairs []string) {
	t.Helper()
	for i, at := range []string{"127.0.0.1:9001", "127.0.0.1:9002"} {
		ln := listener(t)
		_ = ln.SetDeadline(time.Time{})
		go echo.Serve(ln, func(first string) {
			if asked != nil && strings.HasPrefix(first, "OPEN ") {
				asked(i, first)
			}
		})
		pairs = append(pairs, at, ln.Addr().String())
	}
	return pairs
}

// withAdminAddr adds $GW_MGMT to what getenv tells.
func withAdminAddr(getenv func(string) string, addr string) func(string) string {
	return func(name string) string {
		if name == "GW_MGMT" {
			return addr
		}
		return getenv(name)
	}
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
		"management address: listen on 192.0.2.1:9901":    withAdminAddr(env(t, "127.0.0.1:8081", "127.0.0.1:0"), "192.0.2.1:9901"),
		`management address "9901" is not an address`:     withAdminAddr(env(t, "127.0.0.1:8081", "127.0.0.1:0"), "9901"),
	} {
		var out, said bytes.Buffer
		code := run(
			[]string{"serve", "--config=" + getenv("GW_CONFIG")},
			&streams{getenv: getenv, out: &out, err: &said},
		)
		if code != exitFailed || !strings.Contains(said.String(), want) || strings.Count(said.String(), "\n") != 1 {
			t.Errorf("want %q, got %q and %d", want, said.String(), code)
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

// acceptDiscoveryRequest takes the next call that comes to discovery.
func acceptDiscoveryRequest(t *testing.T, ln *net.TCPListener) string {
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
	siteFile := filepath.Join(t.TempDir(), "site.xml")
	keyed := func(name string) {
		text := fmt.Sprintf(
			`<spurspread xmlns="urn:spurspread:site:1" name="x"><resume><keys><key id=%q file=%q use="mint"/></keys></resume></spurspread>`,
			name,
			name,
		)
		if err := os.WriteFile(siteFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"one", "two"} {
		if code, _, said := command(t, "token", "key", filepath.Join(filepath.Dir(siteFile), name)); code != exitOK {
			t.Fatal(said)
		}
	}
	keyed("one")
	p := start(t, "GW_CONFIG="+path, "SPURSPREAD_SITE="+siteFile)
	cmd, logged := p.cmd, p.logged
	signal := func(s unix.Signal) {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	if got := acceptDiscoveryRequest(t, was); !strings.Contains(got, "index=1 ") {
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
	logged("reload rejected, nothing changed: configuration: discovery")
	answers()
	write(is.Addr().String())
	keyed("three") // which nobody made: neither file changes anything
	signal(unix.SIGHUP)
	logged("reload rejected, nothing changed: " + siteFile + ":1: key@file: can't be read: no such file")
	answers()
	keyed("two")
	signal(unix.SIGHUP)
	// The versions of the new address may be its own, so the whole list is asked for.
	if got := acceptDiscoveryRequest(t, is); !strings.Contains(got, "index=0 ") {
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

// command runs one command line and returns its code and what it said.
func command(t *testing.T, args ...string) (code int, out, said string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = run(args, &streams{getenv: func(string) string { return "" }, out: &stdout, err: &stderr})
	return code, stdout.String(), stderr.String()
}

// Usage has its own exit code, help teaches, and what is wrong with a file is told with its line.
func TestCommandLine(t *testing.T) {
	t.Setenv("GW_CONFIG", "")
	t.Setenv("SPURSPREAD_SITE", "")
	dir := t.TempDir()
	key, bad := filepath.Join(dir, "key"), filepath.Join(dir, "bad.xml")
	if err := os.WriteFile(bad, []byte("<spurspread xmlns=\"urn:spurspread:site:1\">\n</spurspread>\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args      []string
		code      int
		out, said string
	}{
		{[]string{"--help"}, exitOK, "Without a command it serves", ""},
		{[]string{"serve", "--help"}, exitOK, "SIGHUP reads both files again", ""},
		{[]string{"site", "check", "--help"}, exitOK, "Example:", ""},
		{[]string{"token", "inspect", "--help"}, exitOK, "Example:", ""},
		{[]string{"fly"}, exitUsage, "", "unexpected argument fly"},
		{[]string{"serve", "--log-format=xml"}, exitUsage, "", "--log-format must be one of"},
		{[]string{"site", "check"}, exitUsage, "", "expected \"<file>\""},
		{nil, exitFailed, "", "GW_CONFIG names no configuration file"},
		{[]string{"version"}, exitOK, "revision", ""},
		{[]string{"site", "schema"}, exitOK, "targetNamespace=\"urn:spurspread:site:1\"", ""},
		{[]string{"site", "check", "../../deploy/spurspread.xml"}, exitOK, "nothing turned on", ""},
		{[]string{"site", "check", bad}, exitFailed, "", "bad.xml:1: spurspread@name: missing; add name="},
		{[]string{"site", "check", filepath.Join(dir, "none.xml")}, exitFailed, "", "no such file"},
		{[]string{"token", "key", key}, exitOK, ": key ", ""},
		{[]string{"token", "key", key}, exitFailed, "", "file exists"},
		{[]string{"token", "inspect", "--site=../../deploy/spurspread.xml", "x"}, exitFailed, "", "has no element <resume>"},
	} {
		code, out, said := command(t, c.args...)
		if code != c.code || !strings.Contains(out, c.out) || !strings.Contains(said, c.said) {
			t.Errorf("%q: code %d, %q, %q", c.args, code, out, said)
		}
	}
}

// A key that was made can be named by a site file, and tokens sealed with it can be inspected.
func TestInspect(t *testing.T) {
	dir := t.TempDir()
	if code, _, said := command(t, "token", "key", filepath.Join(dir, "key")); code != exitOK {
		t.Fatal(said)
	}
	file := filepath.Join(dir, "site.xml")
	if err := os.WriteFile(file, []byte(`<spurspread xmlns="urn:spurspread:site:1" name="x">
<resume><keys><key id="k1" file="key" use="mint"/></keys></resume></spurspread>`), 0o600); err != nil {
		t.Fatal(err)
	}
	s, err := siteconfig.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	ring, err := tokenRing(&s.Resume.Keys)
	if err != nil {
		t.Fatal(err)
	}
	text := ring.Seal(nil, &token.Token{LastSequence: 41, Class: []byte("sync"), Server: []byte("s1")})
	code, out, said := command(t, "token", "inspect", "--site="+file, string(text))
	if code != exitOK || !strings.Contains(out, "top      41\n") ||
		!strings.Contains(out, "server   s1, started long ago") {
		t.Errorf("%d, %q, %q", code, out, said)
	}
	// Another letter of the same alphabet: any other byte would be no token at all.
	if text[70] != 'A' {
		text[70] = 'A'
	} else {
		text[70] = 'B'
	}
	if code, _, said := command(t, "token", "inspect", "--site="+file, string(text)); code != exitFailed ||
		!strings.Contains(said, "seal") {
		t.Errorf("%d, %q", code, said)
	}
}

// process is the built program, started as the platform starts it, whose log a test reads.
type process struct {
	t   *testing.T
	cmd *exec.Cmd
	log *bufio.Scanner
}

func start(t *testing.T, env ...string) *process {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append([]string{"SPURSPREAD_TEST_AS_MAIN=1"}, env...)
	out, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill(); _ = cmd.Wait() })
	p := &process{t, cmd, bufio.NewScanner(out)}
	p.logged("started")
	return p
}

// logged reads the log until a line says what, and returns it; the process must not end before.
func (p *process) logged(what string) string {
	p.t.Helper()
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), what) {
			return p.log.Text()
		}
	}
	p.t.Fatalf("the program ended without logging %q", what)
	return ""
}

// exchangeLine sends one line to addr and returns the line that answers it, or what went wrong.
func exchangeLine(t *testing.T, addr, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // only so that a fault ends the test
	if _, err := c.Write([]byte(line)); err != nil {
		return err.Error()
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.TrimRight(answer, "\r\n")
}

func freePort(t *testing.T) string {
	t.Helper()
	ln := listener(t)
	addr := ln.Addr().String()
	_ = ln.Close()
	return addr
}

// Balancers that share a $TMPDIR and were given ports by the kernel are no versions of one another.
func TestStrangersHandNothingOver(t *testing.T) {
	path, tmp := env(t, "127.0.0.1:8081", "127.0.0.1:0")("GW_CONFIG"), "TMPDIR="+t.TempDir()
	first := start(t, "GW_CONFIG="+path, tmp)
	start(t, "GW_CONFIG="+path, tmp)
	if err := first.cmd.Process.Signal(unix.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for first.log.Scan() {
		if text := first.log.Text(); strings.Contains(text, "hot restart: successor accepts new clients") {
			t.Error(text)
		}
	}
	if err := first.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// A new version beside the old one: it says yes when it serves; at SIGTERM the old one hands over, and from then on
// every new client reaches the new one, also after the old one was killed in the middle.
func TestNewVersionBesideTheOld(t *testing.T) {
	for _, kill := range []bool{false, true} {
		clients, discovery := freePort(t), listener(t)
		path, _ := configured(t, "127.0.0.1:8081", clients, "127.0.0.1:8500", discovery.Addr().String())
		tmp := t.TempDir()
		oldMgmt, newMgmt := freePort(t), freePort(t)
		old := start(t, "GW_CONFIG="+path, "GW_MGMT="+oldMgmt, "TMPDIR="+tmp)
		if got := exchangeLine(t, oldMgmt, "PING\r\n"); got != "+OK serving" {
			t.Fatalf("old PING: %q", got)
		}
		start(t, "GW_CONFIG="+path, "GW_MGMT="+newMgmt, "TMPDIR="+tmp)
		if got := exchangeLine(t, newMgmt, "PING\r\n"); got != "+OK serving" {
			t.Fatalf("new PING: %q", got)
		}
		if err := old.cmd.Process.Signal(unix.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if kill {
			_ = old.cmd.Process.Kill()
			_ = old.cmd.Wait()
		} else {
			old.logged("hot restart: successor accepts new clients")
		}
		// Were the old one still listening, about half of these would reach it and hear that it drains.
		for i := range 40 {
			if got := exchangeLine(t, clients, "PING\r\n"); got != "PONG" {
				t.Fatalf("killed %v, client %d after the hand-over: %q", kill, i, got)
			}
		}
		if !kill {
			if err := old.cmd.Wait(); err != nil {
				t.Errorf("the old one ended with %v", err)
			}
		}
		notes, _ := filepath.Glob(filepath.Join(tmp, "spurspread-*.v1.json"))
		if len(notes) != 1 {
			t.Errorf("notes %v", notes)
		}
	}
}
