package deployment

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/gjson"

	"spurspread/lab/discoveryserver"
)

const (
	// startTimeout bounds the time from a process's start until it listens.
	startTimeout = 10 * time.Second
	// managementTimeout bounds a call of the management address.
	managementTimeout = 3 * time.Second
	// tailLines is the number of lines of a process's log that are kept for error messages.
	tailLines = 50
	// anyPort is the listen address of a balancer at its first start: the kernel chooses the port.
	anyPort = "127.0.0.1:0"
)

var (
	// ErrStart is returned for a process that ended instead of listening, or that did not listen within startTimeout.
	ErrStart = errors.New("the balancer did not start")
	// ErrManagement is returned for a management call whose answer is not +OK.
	ErrManagement = errors.New("management call refused")
)

// Balancer is one real balancer, which can be stopped and started again at the same address. Start, Upgrade and
// CallManagement must be called from a single goroutine; the other methods may be called from any.
type Balancer struct {
	deployment     *Deployment
	rank           int    // its index in the deployment
	listen         string // address for clients, which stays the same after the first start
	managementAddr string // of the current process
	starts         int    // number of processes started so far

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{} // closed when the process has ended
	exitCode  int
	tail      []string           // last log lines of the current process
	maxLogged map[string]float64 // greatest value of each numeric log field, over all its processes
}

// StartSingle starts one balancer whose only node is at nodeAddr. Files are written to the existing folder dir. The
// discovery service for the balancer is closed once the balancer listens.
func StartSingle(program, dir, nodeAddr string, channels bool) (*Balancer, error) {
	return StartOne(Config{Program: program, Dir: dir, Seed: 1, Channels: channels}, nodeAddr)
}

// StartOne is StartSingle with a whole configuration, of which it uses what concerns a balancer.
func StartOne(cfg Config, nodeAddr string) (*Balancer, error) {
	cfg.Balancers = 1
	d := &Deployment{cfg: cfg}
	err := d.writeSiteFiles()
	if err != nil {
		return nil, err
	}
	if d.Discovery, err = discoveryserver.Start(0); err != nil {
		return nil, err
	}
	// Discovery is needed only for the list at the start: a balancer that can't reach it continues with that list.
	defer func() { _ = d.Discovery.Close() }()
	d.Discovery.Publish(discoveryserver.Entry{
		ID:          NodeID(0),
		Addr:        nodeAddr,
		Zone:        "a",
		MachineType: "m",
		Lifecycle:   discoveryserver.Ready,
		Weight:      1,
	})
	b := &Balancer{deployment: d, listen: anyPort}
	return b, b.Start()
}

// Addr returns the address at which the balancer listens for clients.
func (b *Balancer) Addr() string { return b.listen }

// Start starts a process and waits until it listens. An error that wraps ErrStart includes the end of the log.
func (b *Balancer) Start() error {
	b.starts++
	cmd, err := b.command()
	if err != nil {
		return err
	}
	log, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	listens := make(chan string, 1)
	done := make(chan struct{})
	b.mu.Lock()
	b.cmd = cmd
	b.done = done
	b.tail = nil
	b.mu.Unlock()
	go b.followLog(cmd, log, listens, done)
	select {
	case b.listen = <-listens:
		return nil
	case <-done:
		return fmt.Errorf("%w: balancer %d ended before it listened: %v", ErrStart, b.rank, b.Tail())
	case <-time.After(startTimeout):
		b.Kill()
		return fmt.Errorf("%w: balancer %d did not listen within %v: %v", ErrStart, b.rank, startTimeout, b.Tail())
	}
}

// command writes the configuration of the next process and returns its command. As on the platform, the process is
// configured by environment variables and gets no arguments. Each process has its own management address.
func (b *Balancer) command() (*exec.Cmd, error) {
	d := b.deployment
	var err error
	if b.managementAddr, err = freeAddr(); err != nil {
		return nil, err
	}
	path := filepath.Join(d.cfg.Dir, fmt.Sprintf("balancer-%d.json", b.rank))
	text, err := json.Marshal(d.balancerConfig(b))
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, text, secretFileMode); err != nil {
		return nil, err
	}
	tempDir := d.cfg.Dir
	if d.cfg.SeparateTempDirs {
		if tempDir, err = os.MkdirTemp(tempDir, "apart"); err != nil {
			return nil, err
		}
	}
	cmd := exec.Command(d.cfg.Program)
	cmd.Env = []string{
		"GW_CONFIG=" + path,
		"SPURSPREAD_LOG_FORMAT=json",
		"SPURSPREAD_SITE=" + d.sitePath,
		"TMPDIR=" + tempDir,
	}
	return cmd, nil
}

// followLog reads a process's log until its end. It sends the address at which the process listens on listens, and
// closes done once the process has ended.
func (b *Balancer) followLog(cmd *exec.Cmd, log io.Reader, listens chan<- string, done chan<- struct{}) {
	for lines := bufio.NewScanner(log); lines.Scan(); {
		b.recordLogLine(lines.Text())
		if addr := listenAddress(lines.Text()); addr != "" {
			listens <- addr
		}
	}
	_ = cmd.Wait() // ProcessState has the exit code
	b.mu.Lock()
	b.exitCode = cmd.ProcessState.ExitCode()
	b.mu.Unlock()
	close(done)
}

// freeAddr returns an unused address. It is on a random IP of 127.0.0.0/8 other than 127.0.0.1, on which outgoing
// connections and most listeners get their ports, so that no other socket gets the port before it is used.
func freeAddr() (string, error) {
	ip := net.IPv4(127, byte(64+rand.IntN(128)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// CallManagement sends a command to the management address, and returns the time until the answer. If the answer is
// not +OK the error is ErrManagement.
func (b *Balancer) CallManagement(call string) (time.Duration, error) {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", b.managementAddr, managementTimeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(began.Add(managementTimeout))
	if _, err := fmt.Fprint(conn, call, "\r\n"); err != nil {
		return 0, err
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err == nil && !strings.HasPrefix(answer, "+OK") {
		err = fmt.Errorf("%w: %s was answered %q", ErrManagement, call, answer)
	}
	return time.Since(began), err
}

// listenAddress returns the address from the log line by which a balancer reports that it has started, and "" for any
// other line. It also reads the text format of versions without JSON logs, because these are measured too.
func listenAddress(line string) string {
	if fields := gjson.Parse(line); fields.Get("msg").Str == "started" {
		return fields.Get("listen").Str
	}
	if _, rest, ok := strings.Cut(line, `msg=started listen="`); ok {
		addr, _, _ := strings.Cut(rest, `"`)
		return addr
	}
	return ""
}

// MaxLogged returns the greatest value that a numeric log field has had since the balancer's first start; 0 if the
// field was not logged.
func (b *Balancer) MaxLogged(field string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxLogged[field]
}

// ResidentBytes returns the resident memory of the current process in bytes; 0 if it can't be read.
func (b *Balancer) ResidentBytes() float64 { return ResidentBytes(b.Pid()) }

// ResidentBytes returns the resident memory of a process in bytes, as the kernel reports it; 0 if it can't be read.
func ResidentBytes(pid int) float64 {
	const bytesPerKB = 1024
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	var kb float64
	if _, err := fmt.Sscan(rest, &kb); err != nil {
		return 0
	}
	return kb * bytesPerKB
}

// recordLogLine keeps the line for Tail and its numeric fields for MaxLogged.
func (b *Balancer) recordLogLine(line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.maxLogged == nil {
		b.maxLogged = map[string]float64{}
	}
	gjson.Parse(line).ForEach(func(key, value gjson.Result) bool {
		if value.Type == gjson.Number {
			b.maxLogged[key.Str] = max(b.maxLogged[key.Str], value.Num)
		}
		return true
	})
	b.tail = append(b.tail, line)
	if len(b.tail) > tailLines {
		b.tail = b.tail[1:]
	}
}

// Tail returns the last lines of the current process's log, at most tailLines.
func (b *Balancer) Tail() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.tail)
}

// Signal sends a signal to the current process. It does nothing if the process has ended or none was started.
func (b *Balancer) Signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd != nil {
		_ = b.cmd.Process.Signal(s) // it may have ended already
	}
}

// Pid returns the id of the current process; 0 before the first start.
func (b *Balancer) Pid() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd == nil {
		return 0
	}
	return b.cmd.Process.Pid
}

// Kill ends the current process with SIGKILL, and waits for its end.
func (b *Balancer) Kill() {
	b.Signal(syscall.SIGKILL)
	b.wait()
}

// Upgrade starts a new process at the same address while the current one runs. Once the new process listens, it ends
// the old one with SIGTERM, and returns the old one's exit code.
func (b *Balancer) Upgrade() (int, error) {
	b.mu.Lock()
	old := b.cmd
	done := b.done
	b.mu.Unlock()
	if err := b.Start(); err != nil {
		return 0, err
	}
	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		return 0, err
	}
	<-done
	return old.ProcessState.ExitCode(), nil
}

// Terminate ends the current process with SIGTERM, and returns its exit code.
func (b *Balancer) Terminate() int {
	b.Signal(syscall.SIGTERM)
	return b.wait()
}

// wait waits for the end of the current process, and returns its exit code; 0 if no process was started.
func (b *Balancer) wait() int {
	b.mu.Lock()
	done := b.done
	b.mu.Unlock()
	if done == nil {
		return 0
	}
	<-done
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.exitCode
}
