package main

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"spurspread/internal/siteconfig"
	"spurspread/internal/token"
	"spurspread/lab/echo"
)

const exampleConfig = "../../example/config.json"

// configEnv writes the example configuration with the first occurrence of old replaced, and returns a getenv whose
// GW_CONFIG names the file.
func configEnv(t *testing.T, old, new string) func(string) string {
	t.Helper()
	text, err := os.ReadFile(exampleConfig)
	if err != nil {
		t.Fatal(err)
	}
	changed := strings.Replace(string(text), old, new, 1)
	if old != "" && changed == string(text) {
		t.Fatalf("the example configuration does not contain %q", old)
	}
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(changed), 0o600); err != nil {
		t.Fatal(err)
	}
	return func(name string) string { return map[string]string{"GW_CONFIG": path}[name] }
}

// writeConfig writes the example configuration with each first text of pairs replaced by the second, and returns its
// path and text.
func writeConfig(t *testing.T, pairs ...string) (path, text string) {
	t.Helper()
	path = configEnv(t, "", "")("GW_CONFIG")
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

// startServers starts two echoing servers and returns the pairs of texts by which writeConfig puts their addresses into
// the configuration. onRequest, unless nil, is called with a server's number and the first line of each request.
func startServers(t *testing.T, onRequest func(server int, first string)) (pairs []string) {
	t.Helper()
	for i, at := range []string{"127.0.0.1:9001", "127.0.0.1:9002"} {
		ln := listener(t)
		_ = ln.SetDeadline(time.Time{})
		go echo.Serve(ln, func(first string) {
			if onRequest != nil && strings.HasPrefix(first, "OPEN ") {
				onRequest(i, first)
			}
		})
		pairs = append(pairs, at, ln.Addr().String())
	}
	return pairs
}

// withAdminAddr returns getenv with GW_MGMT set to addr.
func withAdminAddr(getenv func(string) string, addr string) func(string) string {
	return func(name string) string {
		if name == "GW_MGMT" {
			return addr
		}
		return getenv(name)
	}
}

// Every fault of a configuration ends the program with exit code 1 and one line on standard error.
func TestBadConfiguration(t *testing.T) {
	t.Setenv("TMPDIR", t.TempDir()) // else a list that another process stored there might replace the invalid one
	anyPort := configEnv(t, "127.0.0.1:8081", "127.0.0.1:0")
	for want, getenv := range map[string]func(string) string{
		"GW_CONFIG names no":                 func(string) string { return "" },
		"no such file":                       func(string) string { return "/nowhere/config.json" },
		"is not a JSON object":               configEnv(t, "{", "["),
		`listen "nowhere" is not an address`: configEnv(t, "127.0.0.1:8081", "nowhere"),
		`discovery "" is not an address`:     configEnv(t, `"discovery": "127.0.0.1:8500"`, `"discovery": ""`),
		`seed "zz" is not hexadecimal`:       configEnv(t, "8c1f30d27a5be964", "zz"),
		"settings: not a JSON object":        configEnv(t, `"settings": {`, `"other": {`),
		"rules.cold: missing; rules.drain_grace: missing": configEnv(t,
			`"cold": 23000000, "cold_from": 0.13, "drain_grace"`, `"cold_from": 0.1, "x"`),
		"rules.cold: missing":                          configEnv(t, `"cold": 23000000`, `"warm": 1`),
		"known: discovery's list is":                   configEnv(t, `"generation": 1`, `"generation": "x"`),
		"listen on 192.0.2.1:8081":                     configEnv(t, "127.0.0.1:8081", "192.0.2.1:8081"),
		"management address: listen on 192.0.2.1:9901": withAdminAddr(anyPort, "192.0.2.1:9901"),
		`management address "9901" is not an address`:  withAdminAddr(anyPort, "9901"),
	} {
		var out, errOut bytes.Buffer
		code := run(
			[]string{"serve", "--config=" + getenv("GW_CONFIG")},
			&environment{getenv: getenv, out: &out, err: &errOut},
		)
		if code != exitFailed || !strings.Contains(errOut.String(), want) || strings.Count(errOut.String(), "\n") != 1 {
			t.Errorf("got standard error %q and code %d, want one line with %q and code 1", errOut.String(), code, want)
		}
	}
}

// TestMain runs the program instead of the tests in processes that the tests start from this binary.
func TestMain(m *testing.M) {
	if os.Getenv("SPURSPREAD_TEST_AS_MAIN") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// listener listens on a free loopback port, for instance as a discovery that never replies. Accept fails after 10 s.
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

// acceptDiscoveryRequest accepts the next call to discovery, and returns its first line without replying.
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

// The program serves without interruption through reloads by SIGHUP, of valid and of invalid files, and exits with 0 on
// SIGTERM.
func TestSignals(t *testing.T) {
	oldDiscovery, newDiscovery := listener(t), listener(t)
	free := listener(t)
	addr := free.Addr().String()
	_ = free.Close()
	path := configEnv(t, "127.0.0.1:8081", addr)("GW_CONFIG")
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
	write(oldDiscovery.Addr().String())
	siteFile := filepath.Join(t.TempDir(), "site.xml")
	useKey := func(name string) {
		text := fmt.Sprintf(`<spurspread xmlns="urn:spurspread:site:1" name="x">`+
			`<resume><keys><key id=%q file=%q use="mint"/></keys></resume></spurspread>`, name, name)
		if err := os.WriteFile(siteFile, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range []string{"one", "two"} {
		if code, _, errOut := command(t, "token", "key", filepath.Join(filepath.Dir(siteFile), name)); code != exitOK {
			t.Fatal(errOut)
		}
	}
	useKey("one")
	p := start(t, "GW_CONFIG="+path, "SPURSPREAD_SITE="+siteFile)
	cmd, logged := p.cmd, p.logged
	signal := func(s unix.Signal) {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	if got := acceptDiscoveryRequest(t, oldDiscovery); !strings.Contains(got, "index=1 ") {
		t.Errorf("first call to the old discovery: %q, want index=1", got)
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
			t.Fatalf("PING answered with %q, %v, want PONG", got, err)
		}
	}
	answers()
	write("nowhere")
	signal(unix.SIGHUP)
	logged("reload rejected, nothing changed: configuration: discovery")
	answers()
	write(newDiscovery.Addr().String())
	useKey("three") // which does not exist: nothing changes, though the configuration file is valid
	signal(unix.SIGHUP)
	logged("reload rejected, nothing changed: " + siteFile + ":1: key@file: can't be read: no such file")
	answers()
	useKey("two")
	signal(unix.SIGHUP)
	// Generations of one discovery mean nothing to another, so the full list is requested.
	if got := acceptDiscoveryRequest(t, newDiscovery); !strings.Contains(got, "index=0 ") {
		t.Errorf("first call to the new discovery: %q, want index=0", got)
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

// command runs one command line in this process and returns its exit code and output.
func command(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = run(args, &environment{getenv: func(string) string { return "" }, out: &stdout, err: &stderr})
	return code, stdout.String(), stderr.String()
}

// Usage errors have their own exit code, help shows examples, and a fault in a file is reported with its line.
func TestCommandLine(t *testing.T) {
	t.Setenv("GW_CONFIG", "")
	t.Setenv("SPURSPREAD_SITE", "")
	dir := t.TempDir()
	key, bad := filepath.Join(dir, "key"), filepath.Join(dir, "bad.xml")
	nameless := "<spurspread xmlns=\"urn:spurspread:site:1\">\n</spurspread>\n"
	if err := os.WriteFile(bad, []byte(nameless), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args        []string
		code        int
		out, errOut string
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
		{
			[]string{"token", "inspect", "--site=../../deploy/spurspread.xml", "x"},
			exitFailed, "", "has no element <resume>",
		},
	} {
		code, out, errOut := command(t, c.args...)
		if code != c.code || !strings.Contains(out, c.out) || !strings.Contains(errOut, c.errOut) {
			t.Errorf("%q: code %d, output %q, errors %q; want code %d, output with %q, errors with %q",
				c.args, code, out, errOut, c.code, c.out, c.errOut)
		}
	}
}

// A new key can be used in a site file, tokens sealed with it can be inspected, and altered ones are rejected.
func TestInspect(t *testing.T) {
	dir := t.TempDir()
	if code, _, errOut := command(t, "token", "key", filepath.Join(dir, "key")); code != exitOK {
		t.Fatal(errOut)
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
	ring, err := tokenKeyring(&s.Resume.Keys)
	if err != nil {
		t.Fatal(err)
	}
	text := ring.Seal(nil, &token.Token{LastSequence: 41, Class: []byte("sync"), Server: []byte("s1")})
	code, out, errOut := command(t, "token", "inspect", "--site="+file, string(text))
	if code != exitOK || !strings.Contains(out, "top      41\n") ||
		!strings.Contains(out, "server   s1, started long ago") {
		t.Errorf("token inspect: code %d, output %q, errors %q; want code %d, top 41 and server s1",
			code, out, errOut, exitOK)
	}
	// Replaced by a letter of the base64 alphabet, so that decoding succeeds and the seal is what fails.
	if text[70] != 'A' {
		text[70] = 'A'
	} else {
		text[70] = 'B'
	}
	if code, _, errOut := command(t, "token", "inspect", "--site="+file, string(text)); code != exitFailed ||
		!strings.Contains(errOut, "token authentication failed") {
		t.Errorf("inspect an altered token: code %d, errors %q; want code %d and failed authentication",
			code, errOut, exitFailed)
	}
}

// process is the program as the platform starts it, run from this binary. The test reads its log.
type process struct {
	t   *testing.T
	cmd *exec.Cmd
	log *bufio.Scanner
}

// start starts the program with only these environment variables, and waits until it serves.
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

// logged reads the log until a line contains text, and returns that line. If the process ends before, the test fails.
func (p *process) logged(text string) string {
	p.t.Helper()
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), text) {
			return p.log.Text()
		}
	}
	p.t.Fatalf("the program ended without logging %q", text)
	return ""
}

// exchangeLine sends one line to addr and returns the reply line, or the text of an error.
func exchangeLine(t *testing.T, addr, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second)) // so that a hang fails the test
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

// A balancer with the same $TMPDIR but another listen address is not taken for a successor.
func TestNoHotRestartBetweenAddresses(t *testing.T) {
	path, tmp := configEnv(t, "127.0.0.1:8081", "127.0.0.1:0")("GW_CONFIG"), "TMPDIR="+t.TempDir()
	first := start(t, "GW_CONFIG="+path, tmp)
	start(t, "GW_CONFIG="+path, tmp)
	if err := first.cmd.Process.Signal(unix.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for first.log.Scan() {
		if text := first.log.Text(); strings.Contains(text, "hot restart: successor accepts new clients") {
			t.Errorf("logged %q, want no hot restart to another listen address", text)
		}
	}
	if err := first.cmd.Wait(); err != nil {
		t.Error(err)
	}
}

// A successor answers PING on its admin address once it serves. After SIGTERM the old process closes its listener, so
// that every new client reaches the successor, also if the old process is killed at that moment.
func TestHotRestart(t *testing.T) {
	for _, kill := range []bool{false, true} {
		clients, discovery := freePort(t), listener(t)
		path, _ := writeConfig(t, "127.0.0.1:8081", clients, "127.0.0.1:8500", discovery.Addr().String())
		tmp := t.TempDir()
		oldAdmin, newAdmin := freePort(t), freePort(t)
		old := start(t, "GW_CONFIG="+path, "GW_MGMT="+oldAdmin, "TMPDIR="+tmp)
		if got := exchangeLine(t, oldAdmin, "PING\r\n"); got != "+OK serving" {
			t.Fatalf("PING to the old process: %q, want +OK serving", got)
		}
		start(t, "GW_CONFIG="+path, "GW_MGMT="+newAdmin, "TMPDIR="+tmp)
		if got := exchangeLine(t, newAdmin, "PING\r\n"); got != "+OK serving" {
			t.Fatalf("PING to the new process: %q, want +OK serving", got)
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
		// If the old process were still listening, about half of these would reach it and be rejected.
		for i := range 40 {
			if got := exchangeLine(t, clients, "PING\r\n"); got != "PONG" {
				t.Fatalf("killed %v, client %d after the hot restart: %q, want PONG", kill, i, got)
			}
		}
		if !kill {
			if err := old.cmd.Wait(); err != nil {
				t.Errorf("the old process ended with %v, want exit code 0", err)
			}
		}
		announcements, _ := filepath.Glob(filepath.Join(tmp, "spurspread-*.v1.json"))
		if len(announcements) != 1 {
			t.Errorf("announcements %v, want only that of the new process", announcements)
		}
	}
}
