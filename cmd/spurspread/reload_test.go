package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A reload of an invalid file, whatever its fault, changes no setting, and one log line names the file and the fault. A
// valid file then replaces all settings, and established connections continue.
func TestReloadSettings(t *testing.T) {
	clients, silentDiscovery := freePort(t), listener(t)
	path, good := writeConfig(
		t,
		append(startServers(t, nil), "127.0.0.1:8081", clients, "127.0.0.1:8500", silentDiscovery.Addr().String())...)
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	p := start(t, "GW_CONFIG="+path, "TMPDIR="+t.TempDir())
	id := 0
	answer := func(class string) string {
		id++
		s, got, _ := open(clients, class, id)
		if s != nil {
			_ = s.c.Close()
		}
		return got
	}
	established, got, err := open(clients, "index-sync", id)
	if got != "UP 1\r\n" {
		t.Fatalf("answer %q, %v, want UP 1", got, err)
	}
	// In each of these files the class is renamed, too, which shows whether a file was applied in part.
	renamed := strings.Replace(good, `"index-sync"`, `"renamed"`, 1)
	for _, c := range []struct{ name, text, fault string }{
		{"empty", "", "is not a JSON object"},
		{"cut off", renamed[:len(renamed)*3/4], "is not a JSON object"},
		{"no object", "[" + renamed + "]", "is not a JSON object"},
		{"a key missing", strings.Replace(renamed, `"drain_grace"`, `"grace"`, 1), "rules.drain_grace: missing"},
		{"no classes", strings.Replace(renamed, `"request_classes"`, `"classes"`, 1), "request_classes"},
		{
			"a deadline of 0", strings.Replace(renamed, `"deadline": 1200000`, `"deadline": 0`, 1),
			"deadline: 0 is not greater than 0",
		},
		{"a deadline below 0", strings.Replace(renamed, `"deadline": 1200000`, `"deadline": -1`, 1), "deadline"},
		{
			"no attempts", strings.Replace(renamed, `"most_tries": 4`, `"most_tries": 0`, 1),
			"most_tries: 0 is not greater than 0",
		},
		{"an unknown effect", strings.Replace(renamed, `"read_like"`, `"sometimes"`, 1), "request_classes.0.effect"},
	} {
		if c.text == renamed {
			t.Fatalf("%s: the text does not differ from the valid file", c.name)
		}
		write(c.text)
		if err := p.cmd.Process.Signal(unix.SIGHUP); err != nil {
			t.Fatal(err)
		}
		if line := p.logged("reload rejected, nothing changed"); !strings.Contains(line, c.fault) ||
			!strings.Contains(line, path) {
			t.Errorf("%s: the log has %q, want the file and %q", c.name, line, c.fault)
		}
		if old, fresh := answer("index-sync"), answer("renamed"); old != "UP 1\r\n" || fresh != "ERR\r\n" {
			t.Errorf("%s: the old class got the reply %q, the renamed class %q, want UP 1 and ERR", c.name, old, fresh)
		}
	}
	write(renamed)
	if err := p.cmd.Process.Signal(unix.SIGHUP); err != nil {
		t.Fatal(err)
	}
	p.logged("settings changed")
	if old, fresh := answer("index-sync"), answer("renamed"); old != "ERR\r\n" || fresh != "UP 1\r\n" {
		t.Errorf("reloaded: the old class got the reply %q, the renamed class %q, want ERR and UP 1", old, fresh)
	}
	if err := established.exchange(); err != nil {
		t.Error(err)
	}
}

// A reload that blocks in reading its file, here a FIFO, does not keep SIGTERM from ending the process.
func TestStopDuringBlockedReload(t *testing.T) {
	path, _ := writeConfig(t, "127.0.0.1:8081", freePort(t), "127.0.0.1:8500", listener(t).Addr().String())
	p := start(t, "GW_CONFIG="+path, "TMPDIR="+t.TempDir())
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := unix.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	watchdog := time.AfterFunc(20*time.Second, func() { _ = p.cmd.Process.Kill() }) // so that a hang fails the test
	defer watchdog.Stop()
	signal := func(s unix.Signal) {
		if err := p.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	signal(unix.SIGHUP)
	for { // a FIFO can be opened for writing once the reload has opened it, which then waits for data
		writer, err := unix.Open(path, unix.O_WRONLY|unix.O_NONBLOCK, 0)
		if err == nil {
			defer func() { _ = unix.Close(writer) }()
			break
		}
		time.Sleep(time.Millisecond)
	}
	signal(unix.SIGTERM)
	p.logged("drained")
	if err := p.cmd.Wait(); err != nil {
		t.Error(err)
	}
}
