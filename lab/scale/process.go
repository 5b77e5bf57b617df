package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

const (
	// processStopTimeout is how long a process of stub members may take to end after its input has ended; then it is
	// killed.
	processStopTimeout = 5 * time.Second
	// maxStderrLines bounds what is stored of a process's standard error.
	maxStderrLines = 20
	// sampleBufferBytes is the buffer for a process's samples.
	sampleBufferBytes = 1 << 16
)

// StubMembersCommand is the name of this program's command that calls RunStubMembers with standard input and output.
const StubMembersCommand = "hollow-members"

// stubCommandFunc returns the command of a process of stub members, which has not been started.
type stubCommandFunc func() (*exec.Cmd, error)

// ownStubCommand is the stubCommandFunc that starts this program as a process of stub members.
func ownStubCommand() (*exec.Cmd, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("find this program: %w", err)
	}
	return exec.Command(program, StubMembersCommand), nil
}

// process is a child process of stub members.
type process struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
	done  chan struct{} // closed when the process has ended and its output was read

	mu          sync.Mutex
	encoder     *json.Encoder
	stderrLines []string // the first lines of its standard error
}

// startProcess starts a process and sends its setup. Each of its samples is passed to onSample, one after another.
// Where the setup could not be sent, the process is returned together with the error, and must be stopped.
func startProcess(cmd *exec.Cmd, setup *Setup, onSample func(*Sample)) (*process, error) {
	p := &process{cmd: cmd, done: make(chan struct{})}
	var err error
	if p.stdin, err = cmd.StdinPipe(); err != nil {
		return nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	stderr, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("start a process of stub members: %w", err)
	}
	p.encoder = json.NewEncoder(p.stdin)
	var readers sync.WaitGroup
	readers.Go(func() { p.readSamples(stdout, onSample) })
	readers.Go(func() { p.readStderr(stderr) })
	go func() {
		readers.Wait()
		_ = cmd.Wait() // the exit status is in cmd.ProcessState
		close(p.done)
	}()
	return p, p.send(setup)
}

// readSamples passes on samples until the output ends or is malformed.
func (p *process) readSamples(stdout io.Reader, onSample func(*Sample)) {
	lines := json.NewDecoder(bufio.NewReaderSize(stdout, sampleBufferBytes))
	for {
		var sample Sample
		if lines.Decode(&sample) != nil {
			return
		}
		onSample(&sample)
	}
}

// readStderr stores the first lines of the process's standard error, and discards the others.
func (p *process) readStderr(stderr io.Reader) {
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		p.mu.Lock()
		if len(p.stderrLines) < maxStderrLines {
			p.stderrLines = append(p.stderrLines, lines.Text())
		}
		p.mu.Unlock()
	}
}

// send writes a Setup or Command to the process. An error means that the process has ended.
func (p *process) send(line any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.encoder.Encode(line); err != nil {
		return fmt.Errorf("send to stub members: %w; their standard error: %q", err, p.stderrLines)
	}
	return nil
}

// ended returns whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// endedError is the error of a run during which the process has ended.
func (p *process) endedError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Errorf("a process of stub members has ended: %s", strings.Join(p.stderrLines, "; "))
}

// stop ends the input of the process and waits until it has ended. killed is whether it had to be killed after the
// limit.
func (p *process) stop(limit time.Duration) (killed bool) {
	_ = p.stdin.Close()
	select {
	case <-p.done:
		return false
	case <-time.After(limit):
		_ = p.cmd.Process.Kill()
		<-p.done
		return true
	}
}
