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
	// startTimeout bounds how long a process may take until it answers.
	startTimeout = 20 * time.Second
	// startPollInterval is the pause between two calls of a process that starts.
	startPollInterval = 5 * time.Millisecond
	// stopTimeout bounds a planned stop; after it the process is killed.
	stopTimeout = 20 * time.Second
	// tailLines is how many lines of a process's log are kept for error messages.
	tailLines = 40
)

// ErrStart is the error of a process that ended or did not answer within the start's time limit.
var ErrStart = errors.New("the process did not start")

// Proc is one member of a fleet: a process, or the next one under the same name. Its methods may be called from any
// goroutine, except for Start, which belongs to one at a time.
type Proc struct {
	fleet          *Fleet
	index          int
	Name           string
	Listen         string // address for clients
	ManagementAddr string
	Dir            string // its TMPDIR, where it keeps what the next process may read

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{} // closed when the process has ended
	tail      []string
	paused    bool // paused
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

// Start starts a process, and waits until its management address answers. An error that wraps ErrStart has the end of
// the log.
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

// followLog reads a process's log until its end, and closes done once the process has ended.
func (p *Proc) followLog(cmd *exec.Cmd, log io.Reader, done chan<- struct{}) {
	for lines := bufio.NewScanner(log); lines.Scan(); {
		if handle := p.recordLogLine(lines.Text()); handle != nil {
			handle(lines.Text())
		}
	}
	_ = cmd.Wait() // the process state has how it ended
	close(done)
}

// recordLogLine keeps a line for LogTail, and returns the function that handles it, if there is one.
func (p *Proc) recordLogLine(line string) (handle func(line string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tail = append(p.tail, line)
	if len(p.tail) > tailLines {
		p.tail = p.tail[1:]
	}
	return p.onLogLine
}

// awaitReady waits until the management address answers.
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
			return fmt.Errorf("%w: %s never answered: %v", ErrStart, p.Name, p.LogTail())
		}
	}
}

// Pid is the process id, 0 before the first start.
func (p *Proc) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// LogTail is the end of its log, tailLines lines at most.
func (p *Proc) LogTail() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.tail)
}

// OnLogLine sets a function that is called with each further line of the log; nil removes it.
func (p *Proc) OnLogLine(handle func(line string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onLogLine = handle
}

// Running reports whether its process has not ended and is not paused.
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

// signal sends the process a signal, and notes whether it is paused.
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

// Terminate sends SIGTERM to the process, and does not wait for its end.
func (p *Proc) Terminate() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
}

// Stop ends the process with SIGTERM, and returns its exit code. One that does not end within stopTimeout is killed.
func (p *Proc) Stop() int {
	p.Terminate()
	return p.wait()
}

// wait waits for the process's end and returns its exit code; 0 before the first start.
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

// DeleteState empties the process's folder, so that its next start finds nothing of the earlier ones.
func (p *Proc) DeleteState() error {
	return errors.Join(os.RemoveAll(p.Dir), os.MkdirAll(p.Dir, dirMode))
}
