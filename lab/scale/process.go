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
	// processStopTimeout is the time that a process of stub members has to exit after its input was closed; then it is
	// killed.
	processStopTimeout = 5 * time.Second
	// maxStderrLines limits the lines that are stored of the standard error of a process.
	maxStderrLines = 20
	// sampleBufferBytes is the size of the read buffer for the samples of a process.
	sampleBufferBytes = 1 << 16
)

// StubMembersCommand is the name of this program's command that calls RunStubMembers with standard input and output.
const StubMembersCommand = "hollow-members"

// stubCommandFunc returns a command that runs a process of stub members. The command has not been started.
type stubCommandFunc func() (*exec.Cmd, error)

// ownStubCommand is the stubCommandFunc that runs this program.
func ownStubCommand() (*exec.Cmd, error) {
	program, err := os.Executable()
	if err != nil {
		return nil, fmt.Errorf("path of this program: %w", err)
	}
	return exec.Command(program, StubMembersCommand), nil
}

// process is a child process with stub members.
type process struct {
	cmd   *exec.Cmd
	stdin io.WriteCloser
	done  chan struct{} // closed when the process has exited and its output has been read

	mu          sync.Mutex
	encoder     *json.Encoder
	stderrLines []string // first lines of its standard error
}

// startProcess starts a process and sends its setup. onSample is called with each of its samples, one after another. If
// the setup could not be sent, the process is returned together with the error, and must be stopped.
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

// readSamples passes samples to onSample until the output ends or is malformed.
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

// readStderr stores the first lines of the standard error of the process and discards the others.
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

// send writes a Setup or Command to the process. An error means that the process has exited.
func (p *process) send(line any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.encoder.Encode(line); err != nil {
		return fmt.Errorf("send to stub members: %w; their standard error: %q", err, p.stderrLines)
	}
	return nil
}

// ended returns whether the process has exited.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// endedError returns the error of a run whose process has exited early.
func (p *process) endedError() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	return fmt.Errorf("a process of stub members has exited early: %s", strings.Join(p.stderrLines, "; "))
}

// stop closes the input of the process and waits until it has exited. killed is whether it was killed after the limit.
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
