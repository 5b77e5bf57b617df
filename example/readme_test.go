// Package example has nothing but this test: the commands of its page work as they stand there.
package example

import (
	"bytes"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// patience bounds every wait; no test relies on its passing.
const patience = 60 * time.Second

// commands are the indented blocks of the page.
func commands(t *testing.T) []string {
	t.Helper()
	page, err := os.ReadFile("README.md")
	if err != nil {
		t.Fatal(err)
	}
	blocks := regexp.MustCompile(`(?m)(?:^    .*\n)+`).FindAllString(string(page), -1)
	for i, block := range blocks {
		blocks[i] = strings.ReplaceAll("\n"+block, "\n    ", "\n")
	}
	return blocks
}

// installation is a target of the Makefile that runs, in a process group of its own.
type installation struct {
	t       *testing.T
	group   int
	printed chan string
}

// startMake runs a target of the Makefile until an address accepts connections.
func startMake(t *testing.T, target, addr string) *installation {
	t.Helper()
	if conn, err := net.Dial("tcp", addr); err == nil {
		_ = conn.Close()
		t.Fatalf("something listens at %s already", addr)
	}
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command("make", target)
	command.Dir = ".."
	command.Stdout, command.Stderr = write, write
	command.Env = append(os.Environ(), "TMPDIR="+t.TempDir()) // other tests read what a balancer stores there
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	_ = write.Close()
	run := &installation{t, command.Process.Pid, make(chan string, 1)}
	go func() {
		text, _ := io.ReadAll(read)
		run.printed <- string(text)
	}()
	t.Cleanup(func() {
		_ = syscall.Kill(-command.Process.Pid, syscall.SIGKILL)
		_ = command.Wait()
	})
	for late := time.Now().Add(patience); ; time.Sleep(20 * time.Millisecond) {
		if conn, err := net.Dial("tcp", addr); err == nil {
			_ = conn.Close()
			return run
		}
		if time.Now().After(late) {
			t.Fatalf("nothing listens at %s", addr)
		}
	}
}

// stop interrupts the group, as Ctrl-C does, and returns all that was printed.
func (run *installation) stop() string {
	run.t.Helper()
	_ = syscall.Kill(-run.group, syscall.SIGINT)
	select {
	case text := <-run.printed:
		return text
	case <-time.After(patience):
		run.t.Fatal("make does not end")
		return ""
	}
}

// endToy ends the toy of the group, and waits until it is gone or a zombie.
func (run *installation) endToy() {
	run.t.Helper()
	stats, _ := filepath.Glob("/proc/[0-9]*/stat")
	for _, path := range stats {
		text, _ := os.ReadFile(path)
		fields := strings.Fields(string(text)) // pid, (name), state, parent, group
		if len(fields) < 5 || fields[1] != "(toy)" || fields[4] != strconv.Itoa(run.group) {
			continue
		}
		pid, _ := strconv.Atoi(fields[0])
		_ = syscall.Kill(pid, syscall.SIGTERM)
		for fields[2] != "Z" && len(text) > 0 {
			text, _ = os.ReadFile(path)
			fields = append(strings.Fields(string(text)), "", "", "")
		}
		return
	}
	run.t.Fatal("there is no toy")
}

// shell runs commands in one bash, as a reader would, and hands on what they print line by line.
type shell struct {
	t     *testing.T
	input io.Writer
	lines chan string
}

func newShell(t *testing.T) *shell {
	t.Helper()
	command := exec.Command("bash")
	input, err := command.StdinPipe()
	if err != nil {
		t.Fatal(err)
	}
	s := &shell{t: t, input: input, lines: make(chan string, 100)}
	command.Stdout = s
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
	})
	return s
}

// Write takes what is printed: each command prints one whole line at once.
func (s *shell) Write(b []byte) (int, error) {
	for _, line := range bytes.Split(bytes.TrimRight(b, "\n"), []byte("\n")) {
		s.lines <- strings.TrimRight(string(line), "\r")
	}
	return len(b), nil
}

// run types a block of the page.
func (s *shell) run(block string) {
	s.t.Helper()
	if _, err := io.WriteString(s.input, block); err != nil {
		s.t.Fatal(err)
	}
}

func (s *shell) want(beginning string) {
	s.t.Helper()
	select {
	case line := <-s.lines:
		if !strings.HasPrefix(line, beginning) {
			s.t.Fatalf("printed %q, want %q", line, beginning)
		}
	case <-time.After(patience):
		s.t.Fatalf("nothing printed, want %q", beginning)
	}
}

// A reader who types the page's commands sees what it says, and Ctrl-C ends all without a complaint.
func TestCommandsOfThePage(t *testing.T) {
	blocks := commands(t)
	if len(blocks) != 3 {
		t.Fatalf("the page has %d blocks of commands", len(blocks))
	}
	reader := newShell(t)
	run := startMake(t, "run", "127.0.0.1:8081")
	reader.run(blocks[0])
	reader.want("UP toy-")
	reader.want("hello")
	reader.run("exec 6<>/dev/tcp/127.0.0.1/8081; printf 'HELLO\\r\\n' >&6; head -n 1 <&6\n")
	reader.want("ERR")
	reader.run(blocks[1])
	printed := run.stop()
	reader.want("MOVE")
	for _, want := range []string{"msg=drained", `msg="client rejected" cause=malformed`} {
		if !strings.Contains(printed, want) {
			t.Errorf("the log has no %s: %s", want, printed)
		}
	}
	run = startMake(t, "run-pushed", "127.0.0.1:8082")
	reader.run(blocks[2])
	reader.want("UP toy-")
	reader.want("UP toy-")
	run.endToy()
	if printed = run.stop(); strings.Contains(printed, "No such process") {
		t.Errorf("at the end: %s", printed)
	}
}
