package procs

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

const (
	// startTimeout bounds the time from the start of a process to its first answer.
	startTimeout = 20 * time.Second
	// startPollInterval is the pause between two calls to a starting process.
	startPollInterval = 5 * time.Millisecond
	// stopTimeout bounds a planned stop; after it the process is killed.
	stopTimeout = 20 * time.Second
	// tailLines is the number of last log lines that are kept for error messages.
	tailLines = 40
)

// ErrStart means that a started process ended at once, or did not answer within startTimeout.
var ErrStart = errors.New("the process did not start")

// Proc is one member of a fleet, with its current process; each Start replaces the process by a new one under the same
// name. The methods may be called from any goroutine, but there must be only one call of Start at a time.
type Proc struct {
	fleet          *Fleet
	index          int
	Name           string
	Listen         string // address for clients
	ManagementAddr string
	Dir            string // its TMPDIR, which holds the state that its next process may read

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{} // closed when the process has ended
	tail      []string      // the last lines of the log
	paused    bool
	onLogLine func(line string)
}

func newProc(f *Fleet, i int, ip netip.Addr) *Proc {
	name := fmt.Sprint("n", i)
	return &Proc{
		fleet:          f,
		index:          i,
		Name:           name,
		Listen:         netip.AddrPortFrom(ip, listenPort).String(),
		ManagementAddr: netip.AddrPortFrom(ip, managementPort).String(),
		Dir:            filepath.Join(f.Dir, name),
	}
}

// Start starts a process, and waits until its management address answers. An error that wraps ErrStart contains the end
// of the log.
func (p *Proc) Start() error {
	if err := p.writeSite(); err != nil {
		return err
	}
	if err := p.writeConfig(); err != nil {
		return err
	}
	cmd := exec.Command(p.fleet.Program)
	cmd.Env = []string{
		"GW_CONFIG=" + p.configPath(),
		"SPURSPREAD_LOG_FORMAT=json",
		"SPURSPREAD_SITE=" + p.sitePath(),
		"TMPDIR=" + p.Dir,
	}
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd = cmd
	p.done = done
	p.tail = nil
	p.paused = false
	p.mu.Unlock()
	go p.followLog(cmd, log, done)
	return p.awaitReady(done)
}

// followLog reads a process's log to its end, waits for the end of the process, and closes done.
func (p *Proc) followLog(cmd *exec.Cmd, log io.Reader, done chan<- struct{}) {
	for lines := bufio.NewScanner(log); lines.Scan(); {
		if handle := p.recordLogLine(lines.Text()); handle != nil {
			handle(lines.Text())
		}
	}
	_ = cmd.Wait() // the exit status is in cmd.ProcessState
	close(done)
}

// recordLogLine stores a line for LogTail, and returns the function set by OnLogLine, or nil.
func (p *Proc) recordLogLine(line string) (handle func(line string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tail = append(p.tail, line)
	if len(p.tail) > tailLines {
		p.tail = p.tail[1:]
	}
	return p.onLogLine
}

// awaitReady waits until the management address answers. It fails if done is closed before, or after startTimeout.
func (p *Proc) awaitReady(done <-chan struct{}) error {
	for end := time.Now().Add(startTimeout); ; time.Sleep(startPollInterval) {
		if _, err := p.Admin("PING"); err == nil {
			return nil
		}
		select {
		case <-done:
			return fmt.Errorf("%w: %s ended at its start: %v", ErrStart, p.Name, p.LogTail())
		default:
		}
		if time.Now().After(end) {
			return fmt.Errorf("%w: %s did not answer in time: %v", ErrStart, p.Name, p.LogTail())
		}
	}
}

// Pid returns the process id; 0 before the first start.
func (p *Proc) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// LogTail returns the last lines of the process's log, at most tailLines.
func (p *Proc) LogTail() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.tail)
}

// OnLogLine sets the function that is called with each further line of the log; nil removes it.
func (p *Proc) OnLogLine(handle func(line string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onLogLine = handle
}

// Running reports whether the process was started, has not ended and is not paused.
func (p *Proc) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.paused {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// signal sends a signal to the process, and records whether it is paused.
func (p *Proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // it may have ended already
	}
	switch s {
	case syscall.SIGSTOP:
		p.paused = true
	case syscall.SIGCONT:
		p.paused = false
	}
}

// Pause suspends the process until Continue.
func (p *Proc) Pause() { p.signal(syscall.SIGSTOP) }

// Continue resumes a paused process.
func (p *Proc) Continue() { p.signal(syscall.SIGCONT) }

// Kill ends the process with SIGKILL, and waits for its end.
func (p *Proc) Kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// Terminate sends SIGTERM to the process, which it resumes if it is paused. It does not wait for the end.
func (p *Proc) Terminate() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
}

// Stop ends the process with SIGTERM, and returns its exit code. It kills a process that does not end within
// stopTimeout.
func (p *Proc) Stop() int {
	p.Terminate()
	return p.wait()
}

// wait waits for the end of the process, and returns its exit code; 0 before the first start. It kills a process that
// does not end within stopTimeout.
func (p *Proc) wait() int {
	p.mu.Lock()
	cmd := p.cmd
	done := p.done
	p.mu.Unlock()
	if cmd == nil {
		return 0
	}
	select {
	case <-done:
	case <-time.After(stopTimeout):
		_ = cmd.Process.Kill()
		<-done
	}
	return cmd.ProcessState.ExitCode()
}

// DeleteState empties the process's directory, so that its next start finds no state of earlier ones.
func (p *Proc) DeleteState() error {
	return errors.Join(os.RemoveAll(p.Dir), os.MkdirAll(p.Dir, dirMode))
}
