// Package example contains only this test, which checks that the commands of README.md work as printed there.
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

// waitTimeout bounds every wait; the test fails if it expires.
const waitTimeout = 60 * time.Second

// readmeCommands returns the indented blocks of README.md, without their indentation.
func readmeCommands(t *testing.T) []string {
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

// makeProcess is a running make of one target. It and its children are one process group.
type makeProcess struct {
	t       *testing.T
	group   int
	printed chan string // receives the whole output when all processes of the group have ended
}

// startMake starts a target of the Makefile, and returns when addr accepts connections.
func startMake(t *testing.T, target, addr string) *makeProcess {
	t.Helper()
	if conn, err := net.Dial("tcp", addr); err == nil {
		_ = conn.Close()
		t.Fatalf("another process already listens on %s, want the address free", addr)
	}
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	command := exec.Command("make", target)
	command.Dir = ".."
	command.Stdout, command.Stderr = write, write
	command.Env = append(os.Environ(), "TMPDIR="+t.TempDir()) // the balancer stores files there
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	_ = write.Close()
	run := &makeProcess{t, command.Process.Pid, make(chan string, 1)}
	go func() {
		text, _ := io.ReadAll(read)
		run.printed <- string(text)
	}()
	t.Cleanup(func() {
		_ = syscall.Kill(-command.Process.Pid, syscall.SIGKILL)
		_ = command.Wait()
	})
	for deadline := time.Now().Add(waitTimeout); ; time.Sleep(20 * time.Millisecond) {
		if conn, err := net.Dial("tcp", addr); err == nil {
			_ = conn.Close()
			return run
		}
		if time.Now().After(deadline) {
			t.Fatalf("make %s: nothing listens on %s within %v", target, addr, waitTimeout)
		}
	}
}

// stop interrupts the process group, as Ctrl-C does, and returns its whole output.
func (run *makeProcess) stop() string {
	run.t.Helper()
	_ = syscall.Kill(-run.group, syscall.SIGINT)
	select {
	case text := <-run.printed:
		return text
	case <-time.After(waitTimeout):
		run.t.Fatalf("make has not ended within %v of SIGINT", waitTimeout)
		return ""
	}
}

// stopToy terminates the toy process of the group, and waits until it has exited (gone, or a zombie).
func (run *makeProcess) stopToy() {
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
	run.t.Fatal("no toy process in the process group")
}

// shell runs commands in one bash process, as a reader of the README would, and sends each printed line to lines.
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

// Write sends the printed lines to lines. It relies on each command printing complete lines in one write.
func (s *shell) Write(b []byte) (int, error) {
	for _, line := range bytes.Split(bytes.TrimRight(b, "\n"), []byte("\n")) {
		s.lines <- strings.TrimRight(string(line), "\r")
	}
	return len(b), nil
}

// run enters a block of commands.
func (s *shell) run(block string) {
	s.t.Helper()
	if _, err := io.WriteString(s.input, block); err != nil {
		s.t.Fatal(err)
	}
}

// expectLine fails the test unless the next printed line has this beginning.
func (s *shell) expectLine(beginning string) {
	s.t.Helper()
	select {
	case line := <-s.lines:
		if !strings.HasPrefix(line, beginning) {
			s.t.Fatalf("printed %q, want %q", line, beginning)
		}
	case <-time.After(waitTimeout):
		s.t.Fatalf("no line printed, want %q", beginning)
	}
}

// The commands of README.md print what it says, and Ctrl-C ends all processes without an error message.
func TestREADMECommands(t *testing.T) {
	blocks := readmeCommands(t)
	if len(blocks) != 3 {
		t.Fatalf("README.md has %d blocks of commands, want 3", len(blocks))
	}
	sh := newShell(t)
	run := startMake(t, "run", "127.0.0.1:8081")
	sh.run(blocks[0])
	sh.expectLine("UP toy-")
	sh.expectLine("hello")
	sh.run("exec 6<>/dev/tcp/127.0.0.1/8081; printf 'HELLO\\r\\n' >&6; head -n 1 <&6\n")
	sh.expectLine("ERR")
	sh.run(blocks[1])
	printed := run.stop()
	sh.expectLine("MOVE")
	for _, want := range []string{"msg=drained", `msg="client rejected" cause=malformed`} {
		if !strings.Contains(printed, want) {
			t.Errorf("the output does not contain %s: %s", want, printed)
		}
	}
	run = startMake(t, "run-pushed", "127.0.0.1:8082")
	sh.run(blocks[2])
	sh.expectLine("UP toy-")
	sh.expectLine("UP toy-")
	run.stopToy()
	if printed = run.stop(); strings.Contains(printed, "No such process") {
		t.Errorf("Ctrl-C after the toy has ended: want no error message, got %s", printed)
	}
}
