package deployment

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"spurspread/lab/discoveryserver"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/tidwall/gjson"
)

// Balancer is one real balancer, which may be killed and started again at its address.
type Balancer struct {
	deployment      *Deployment
	rank   int
	listen string
	managementAddr   string // of the present process
	starts int

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{} // closed when the process has ended
	exitCode      int
	tail      []string // its last log lines
	maxLogged map[string]float64
}

// StartSingle starts one balancer that knows one node, at the given address, and no discovery.
func StartSingle(program, dir, addr string, channels bool) (*Balancer, error) {
	w := &Deployment{cfg: Config{Program: program, Dir: dir, Balancers: 1, Seed: 1, Channels: channels}}
	err := w.writeSiteFiles()
	if err != nil {
		return nil, err
	}
	if w.Discovery, err = discoveryserver.Start(0); err != nil {
		return nil, err
	}
	// It is needed for the list at the start only; a balancer that can't reach it goes on with that.
	defer func() { _ = w.Discovery.Close() }()
	w.Discovery.Set(
		discoveryserver.Entry{
			ID:        NodeID(0),
			Addr:      addr,
			Zone:      "a",
			Machine:   "m",
			Lifecycle: discoveryserver.Ready,
			Weight:    1,
		},
	)
	b := &Balancer{deployment: w, listen: "127.0.0.1:0"}
	return b, b.Start()
}

// Addr is where it listens.
func (b *Balancer) Addr() string { return b.listen }

const (
	startTimeout = 10 * time.Second
	tailLines = 50
)

// Start starts the process and waits until it listens.
func (b *Balancer) Start() error {
	b.starts++
	cmd, err := b.command()
	if err != nil {
		return err
	}
	said, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	listens, done := make(chan string, 1), make(chan struct{})
	b.mu.Lock()
	b.cmd, b.done, b.tail = cmd, done, nil
	b.mu.Unlock()
	go b.followLog(cmd, said, listens, done)
	select {
	case b.listen = <-listens:
		return nil
	case <-done:
		return fmt.Errorf("balancer %d ended at its start: %v", b.rank, b.Tail())
	case <-time.After(startTimeout):
		b.Kill()
		return fmt.Errorf("balancer %d did not start: %v", b.rank, b.Tail())
	}
}

// command writes the process's configuration and makes its command: as the platform starts it, by its environment
// alone. Each process has a management address of its own.
func (b *Balancer) command() (*exec.Cmd, error) {
	var err error
	if b.managementAddr, err = freeAddr(); err != nil {
		return nil, err
	}
	path := filepath.Join(b.deployment.cfg.Dir, fmt.Sprintf("balancer-%d.json", b.rank))
	text, err := json.Marshal(b.deployment.balancerConfig(b))
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	tmp := b.deployment.cfg.Dir
	if b.deployment.cfg.SeparateTempDirs {
		if tmp, err = os.MkdirTemp(tmp, "apart"); err != nil {
			return nil, err
		}
	}
	cmd := exec.Command(b.deployment.cfg.Program)
	cmd.Env = []string{
		"GW_CONFIG=" + path,
		"SPURSPREAD_LOG_FORMAT=json",
		"SPURSPREAD_SITE=" + b.deployment.site,
		"TMPDIR=" + tmp,
	}
	return cmd, nil
}

// followLog reads a process's log until its end, and tells where it listens and that it has ended.
func (b *Balancer) followLog(cmd *exec.Cmd, said io.Reader, listens chan<- string, done chan<- struct{}) {
	for lines := bufio.NewScanner(said); lines.Scan(); {
		b.recordLogLine(lines.Text())
		if addr := listenAddress(lines.Text()); addr != "" {
			listens <- addr
		}
	}
	_ = cmd.Wait() // how it ended stands in its state
	b.mu.Lock()
	b.exitCode = cmd.ProcessState.ExitCode()
	b.mu.Unlock()
	close(done)
}

// freeAddr is an address that nobody listens at, and that the kernel deals to nobody else before it is used: outgoing
// connections come from 127.0.0.1, as most listeners do, and this is another of 127.0.0.0/8.
func freeAddr() (string, error) {
	ip := net.IPv4(127, byte(64+rand.IntN(128)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: ip})
	if err != nil {
		return "", err
	}
	return ln.Addr().String(), ln.Close()
}

// managementTimeout is how long a call of the management address may take; beyond it no answer is waited for.
const managementTimeout = 3 * time.Second

// CallManagement makes a call of its management address, and tells how long the answer took. An answer other than +OK is an
// error.
func (b *Balancer) CallManagement(call string) (time.Duration, error) {
	began := time.Now()
	c, err := net.DialTimeout("tcp", b.managementAddr, managementTimeout)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(began.Add(managementTimeout))
	if _, err := fmt.Fprint(c, call, "\r\n"); err != nil {
		return 0, err
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	if err == nil && !strings.HasPrefix(answer, "+OK") {
		err = fmt.Errorf("%s was answered %q", call, answer)
	}
	return time.Since(began), err
}

// listenAddress reads where a balancer listens from its first log line, in either form: programs of before JSON are measured
// as well.
func listenAddress(line string) string {
	if got := gjson.Parse(line); got.Get("msg").Str == "started" {
		return got.Get("listen").Str
	}
	if _, rest, ok := strings.Cut(line, `msg=started listen="`); ok {
		addr, _, _ := strings.Cut(rest, `"`)
		return addr
	}
	return ""
}

// MaxLogged is the greatest value that a field of its log had, since it was first started.
func (b *Balancer) MaxLogged(field string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.maxLogged[field]
}

// ResidentBytes is its resident memory, in bytes.
func (b *Balancer) ResidentBytes() float64 { return ResidentBytes(b.Pid()) }

// ResidentBytes is a process's resident memory, in bytes, as the kernel has it; 0 where it can't be told.
func ResidentBytes(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "VmRSS:")
	var kb float64
	if _, err := fmt.Sscan(rest, &kb); err != nil {
		return 0
	}
	return kb * 1024
}

func (b *Balancer) recordLogLine(line string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.maxLogged == nil {
		b.maxLogged = map[string]float64{}
	}
	gjson.Parse(line).ForEach(func(key, v gjson.Result) bool {
		if v.Type == gjson.Number {
			b.maxLogged[key.Str] = max(b.maxLogged[key.Str], v.Num)
		}
		return true
	})
	b.tail = append(b.tail, line)
	if len(b.tail) > tailLines {
		b.tail = b.tail[1:]
	}
}

// Tail is the end of its log.
func (b *Balancer) Tail() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]string(nil), b.tail...)
}

// Signal sends its process a signal.
func (b *Balancer) Signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd != nil {
		_ = b.cmd.Process.Signal(s) // one that has ended needs none
	}
}

// Pid is its process, 0 where it has none.
func (b *Balancer) Pid() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd == nil {
		return 0
	}
	return b.cmd.Process.Pid
}

// Kill ends its process at once.
func (b *Balancer) Kill() {
	b.Signal(syscall.SIGKILL)
	b.wait()
}

// Upgrade starts a new process beside the present one, on the same address, and once that listens ends the old one
// in the planned way. It returns the old one's exit code.
func (b *Balancer) Upgrade() (int, error) {
	b.mu.Lock()
	old, done := b.cmd, b.done
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

// Terminate ends it in the planned way, and returns its exit code.
func (b *Balancer) Terminate() int {
	b.Signal(syscall.SIGTERM)
	return b.wait()
}

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
