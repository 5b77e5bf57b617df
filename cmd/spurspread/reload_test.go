package main

import (
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// Whatever is wrong with a file at SIGHUP, all old settings stay in force; one line names the file and the fault. A
// good file after them replaces all settings, and established connections continue.
func TestReloadSettings(t *testing.T) {
	clients, silent := freePort(t), listener(t)
	path, good := configured(
		t,
		append(startServers(t, nil), "127.0.0.1:8081", clients, "127.0.0.1:8500", silent.Addr().String())...)
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
		t.Fatalf("%q, %v", got, err)
	}
	// Each of these files has the class renamed, too, which shows whether it was used in part.
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
			t.Fatalf("%s: nothing is wrong with it", c.name)
		}
		write(c.text)
		if err := p.cmd.Process.Signal(unix.SIGHUP); err != nil {
			t.Fatal(err)
		}
		if line := p.logged("reload rejected, nothing changed"); !strings.Contains(line, c.fault) ||
			!strings.Contains(line, path) {
			t.Errorf("%s: the log has %q", c.name, line)
		}
		if old, fresh := answer("index-sync"), answer("renamed"); old != "UP 1\r\n" || fresh != "ERR\r\n" {
			t.Errorf("%s: the old class is answered %q, the file's %q", c.name, old, fresh)
		}
	}
	write(renamed)
	if err := p.cmd.Process.Signal(unix.SIGHUP); err != nil {
		t.Fatal(err)
	}
	p.logged("settings changed")
	if old, fresh := answer("index-sync"), answer("renamed"); old != "ERR\r\n" || fresh != "UP 1\r\n" {
		t.Errorf("reloaded: the old class is answered %q, the file's %q", old, fresh)
	}
	if err := established.exchange(); err != nil {
		t.Error(err)
	}
}

// A reload whose file never answers does not keep the process from ending when it is told to.
func TestStopBehindAReloadThatHangs(t *testing.T) {
	path, _ := configured(t, "127.0.0.1:8081", freePort(t), "127.0.0.1:8500", listener(t).Addr().String())
	p := start(t, "GW_CONFIG="+path, "TMPDIR="+t.TempDir())
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	if err := unix.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	hangs := time.AfterFunc(20*time.Second, func() { _ = p.cmd.Process.Kill() }) // only so that a fault ends the test
	defer hangs.Stop()
	signal := func(s unix.Signal) {
		if err := p.cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	signal(unix.SIGHUP)
	for { // the reload has opened the file once it can be opened for writing; then it waits for what is written
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
