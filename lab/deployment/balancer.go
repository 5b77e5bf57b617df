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
	// startTimeout bounds how long a process may take until it listens.
	startTimeout = 10 * time.Second
	// managementTimeout bounds a call of the management address.
	managementTimeout = 3 * time.Second
	// tailLines is how many lines of a process's log are kept for error messages.
	tailLines = 50
	// anyPort is the listen address of a balancer before its first start: the kernel chooses the port.
	anyPort = "127.0.0.1:0"
)

var (
	// ErrStart is the error of a process that ended or did not listen within the start's time limit.
	ErrStart = errors.New("the balancer did not start")
	// ErrManagement is the error of a management call that was answered with anything but +OK.
	ErrManagement = errors.New("management call refused")
)

// Balancer is one real balancer, which can be ended and started again at its address. Start, Upgrade and
// CallManagement belong to one goroutine; the other methods may be called from any.
type Balancer struct {
	deployment     *Deployment
	rank           int    // its index in the deployment
	listen         string // address for clients; the same after the first start
	managementAddr string // of the present process
	starts         int    // processes so far

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{} // closed when the process has ended
	exitCode  int
	tail      []string           // its last log lines
	maxLogged map[string]float64 // greatest value of each numeric field of the log, over all its processes
}

// StartSingle starts one balancer whose only node is at the given address. Its discovery is closed once it listens.
func StartSingle(program, dir, nodeAddr string, channels bool) (*Balancer, error) {
	cfg := Config{Program: program, Dir: dir, Balancers: 1, Seed: 1, Channels: channels}
	d := &Deployment{cfg: cfg}
	err := d.writeSiteFiles()
	if err != nil {
		return nil, err
	}
	if d.Discovery, err = discoveryserver.Start(0); err != nil {
		return nil, err
	}
	// It is needed for the list at the start only: a balancer that can't reach discovery continues with that list.
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

// Addr is the address at which it listens for clients.
func (b *Balancer) Addr() string { return b.listen }

// Start starts a process and waits until it listens. An error that wraps ErrStart has the end of the log.
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
		return fmt.Errorf("%w: balancer %d ended at its start: %v", ErrStart, b.rank, b.Tail())
	case <-time.After(startTimeout):
		b.Kill()
		return fmt.Errorf("%w: balancer %d did not listen in %v: %v", ErrStart, b.rank, startTimeout, b.Tail())
	}
}

// command writes the configuration of the next process and makes its command. The process gets the environment that
// the platform gives it, and no arguments. Each process has a management address of its own.
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

// followLog reads a process's log until its end. It sends the address at which the process listens, and closes done
// once the process has ended.
func (b *Balancer) followLog(cmd *exec.Cmd, log io.Reader, listens chan<- string, done chan<- struct{}) {
	for lines := bufio.NewScanner(log); lines.Scan(); {
		b.recordLogLine(lines.Text())
		if addr := listenAddress(lines.Text()); addr != "" {
			listens <- addr
		}
	}
	_ = cmd.Wait() // the process state has how it ended
	b.mu.Lock()
	b.exitCode = cmd.ProcessState.ExitCode()
	b.mu.Unlock()
	close(done)
}

// freeAddr is an unused address that the kernel gives to no other socket before it is used: outgoing
// connections come from 127.0.0.1, as most listeners do, and this is another of 127.0.0.0/8.
func freeAddr() (string, error) {
	ip := net.IPv4(127, byte(64+rand.IntN(128)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// CallManagement makes a call of its management address, and returns how long the answer took. An answer other than
// +OK is ErrManagement.
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

// listenAddress is the address in the log line of a balancer that has started, "" for any other line. Lines of
// programs from before JSON logs are read as well, as these are measured, too.
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

// MaxLogged is the greatest value that a numeric field of its log has had since its first start; 0 if it had none.
func (b *Balancer) MaxLogged(field string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxLogged[field]
}

// ResidentBytes is the resident memory of its process; see Resident.
func (b *Balancer) ResidentBytes() float64 { return ResidentBytes(b.Pid()) }

// ResidentBytes is the resident memory of a process in bytes, as the kernel reports it; 0 where it can't be read.
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

// Tail is the end of the present process's log, tailLines lines at most.
func (b *Balancer) Tail() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.tail)
}

// Signal sends its process a signal; one that has ended gets none.
func (b *Balancer) Signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd != nil {
		_ = b.cmd.Process.Signal(s) // it may have ended already
	}
}

// Pid is the process id, 0 before the first start.
func (b *Balancer) Pid() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd == nil {
		return 0
	}
	return b.cmd.Process.Pid
}

// Kill ends its process with SIGKILL, and waits for its end.
func (b *Balancer) Kill() {
	b.Signal(syscall.SIGKILL)
	b.wait()
}

// Upgrade starts a new process on the same address while the present one runs, and once the new one listens ends the
// old one with SIGTERM. It returns the old one's exit code.
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

// Terminate ends its process with SIGTERM, and returns its exit code.
func (b *Balancer) Terminate() int {
	b.Signal(syscall.SIGTERM)
	return b.wait()
}

// wait waits for the end of the present process, if there is one, and returns its exit code.
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
