package scale

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"time"
)

// endTime is how long a process of hollow members may take to end by itself once its input has ended.
const endTime = 5 * time.Second

// hollowCommand is the command of a process of hollow members: this program's own.
var hollowCommand = func() (*exec.Cmd, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	return exec.Command(self, HollowCommand), nil
}

// HollowCommand is the name of the command that runs Hollow on its standard input and output.
const HollowCommand = "hollow-members"

// process is a process of hollow members, as the run that started it sees it.
type process struct {
	cmd  *exec.Cmd
	in   io.WriteCloser
	done chan struct{}

	mu   sync.Mutex
	to   *json.Encoder
	tail []string // of what it wrote to its standard error
}

// startProcess starts one; take is given what it tells, one sample after another.
func startProcess(setup *Setup, take func(*Sample)) (*process, error) {
	cmd, err := hollowCommand()
	if err != nil {
		return nil, err
	}
	p := &process{cmd: cmd, done: make(chan struct{})}
	if p.in, err = cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	said, err := cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p.to = json.NewEncoder(p.in)
	var readers sync.WaitGroup
	readers.Go(func() { p.read(out, take) })
	readers.Go(func() { p.keep(said) })
	go func() {
		readers.Wait()
		_ = cmd.Wait() // how it ended stands in its state
		close(p.done)
	}()
	return p, p.send(setup)
}

func (p *process) read(out io.Reader, take func(*Sample)) {
	for lines := json.NewDecoder(bufio.NewReaderSize(out, 1<<16)); ; {
		var s Sample
		if lines.Decode(&s) != nil {
			return
		}
		take(&s)
	}
}

func (p *process) keep(said io.Reader) {
	for lines := bufio.NewScanner(said); lines.Scan(); {
		p.mu.Lock()
		if len(p.tail) < 20 {
			p.tail = append(p.tail, lines.Text())
		}
		p.mu.Unlock()
	}
}

// send writes a line for the process.
func (p *process) send(line any) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := p.to.Encode(line); err != nil {
		return fmt.Errorf("hollow members do not listen: %w; they said %q", err, p.tail)
	}
	return nil
}

// ended tells whether the process is there no more.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// end has it end by itself, and ends it by its id where it does not within this time; killed tells that it had to.
func (p *process) end(most time.Duration) (killed bool) {
	_ = p.in.Close()
	select {
	case <-p.done:
		return false
	case <-time.After(most):
		_ = p.cmd.Process.Kill()
		<-p.done
		return true
	}
}
