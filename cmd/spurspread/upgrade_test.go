package main

import (
	"bufio"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

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

// logged reads the log until a line says what; the process must not end before.
func (p *process) logged(what string) {
	p.t.Helper()
	for p.log.Scan() {
		if strings.Contains(p.log.Text(), what) {
			return
		}
	}
	p.t.Fatalf("the program ended without logging %q", what)
}

// say sends one line to addr and returns the line that answers it, or what went wrong.
func say(t *testing.T, addr, line string) string {
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

// A new version beside the old one: it says yes when it serves; at SIGTERM the old one hands over, and from then on
// every new client reaches the new one, also after the old one was killed in the middle.
func TestNewVersionBesideTheOld(t *testing.T) {
	for _, kill := range []bool{false, true} {
		clients, discovery := freePort(t), listener(t)
		path := env(t, "127.0.0.1:8081", clients)("GW_CONFIG")
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		text = []byte(strings.Replace(string(text), "127.0.0.1:8500", discovery.Addr().String(), 1))
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
		tmp := t.TempDir()
		oldMgmt, newMgmt := freePort(t), freePort(t)
		old := start(t, "GW_CONFIG="+path, "GW_MGMT="+oldMgmt, "TMPDIR="+tmp)
		if got := say(t, oldMgmt, "PING\r\n"); got != "+OK serving" {
			t.Fatalf("old PING: %q", got)
		}
		start(t, "GW_CONFIG="+path, "GW_MGMT="+newMgmt, "TMPDIR="+tmp)
		if got := say(t, newMgmt, "PING\r\n"); got != "+OK serving" {
			t.Fatalf("new PING: %q", got)
		}
		if err := old.cmd.Process.Signal(unix.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if kill {
			_ = old.cmd.Process.Kill()
			_ = old.cmd.Wait()
		} else {
			old.logged("handed over")
		}
		// Were the old one still listening, about half of these would reach it and hear that it drains.
		for i := range 40 {
			if got := say(t, clients, "PING\r\n"); got != "PONG" {
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
