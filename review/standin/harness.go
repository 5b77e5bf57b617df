//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"time"
)

// errCannotRun marks an error of the set-up: the case could not run, which says nothing about the rule.
var errCannotRun = errors.New("the case could not run")

// bench is one run of a case: its temporary folder, its record, and the processes that it started.
type bench struct {
	root      string // of the repository
	dir       string // temporary folder
	trouble   bool
	start     time.Time
	discovery *discovery

	mu     sync.Mutex
	record *os.File

	processes []*process
	closed    bool
}

// newBench opens record.txt in the case's folder. TROUBLE=0 in the environment leaves out the disruption.
func newBench(root, caseDir string) (*bench, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseDir, "record.txt"))
	if err != nil {
		return nil, err
	}
	b := &bench{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", start: time.Now(), record: record}
	b.discovery, err = startDiscovery(b)
	return b, err
}

// logf writes one line to the record: the time since the start, and what happened.
func (b *bench) logf(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	_, _ = fmt.Fprintf(b.record, "%8.3f %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the run started, and removes its folder.
func (b *bench) close() {
	b.mu.Lock()
	closed, processes := b.closed, b.processes
	b.closed = true
	b.mu.Unlock()
	if closed {
		return
	}
	for _, p := range processes {
		p.kill()
	}
	_ = b.record.Close()
	_ = os.RemoveAll(b.dir)
}

// process is a process of the project's own program, started with the command of the deploy file.
type process struct {
	bench *bench
	name  string
	cmd   *exec.Cmd
	log   *os.File
	done  chan struct{} // closed when the process has ended
}

// balancerConfig describes one balancer. Zero values are left out of its configuration.
type balancerConfig struct {
	name     string
	listen   string
	admin    string // management address
	settings map[string]any
	site     string // text of the site file; empty: none
	tmpDir   string // its TMPDIR; empty: a folder of its own
	sockets  int
}

// startBalancer writes the configuration and starts the command `run` of deploy/balancer.toml.
func (b *bench) startBalancer(c balancerConfig) (*process, error) {
	text, err := os.ReadFile(filepath.Join(b.root, "deploy", "balancer.toml"))
	if err != nil {
		return nil, err
	}
	run := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(text)
	if run == nil {
		return nil, errors.New("deploy/balancer.toml has no run")
	}
	if c.tmpDir == "" {
		c.tmpDir = filepath.Join(b.dir, "tmp-"+c.name)
	}
	if err := os.MkdirAll(c.tmpDir, 0o700); err != nil {
		return nil, err
	}
	configPath := filepath.Join(b.dir, c.name+".json")
	if err := b.writeConfig(configPath, c); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", string(run[1]))
	cmd.Dir = b.root
	cmd.Env = append(os.Environ(),
		"GW_CONFIG="+configPath, "GW_NAME="+c.name, "GW_LISTEN="+c.listen, "GW_DISCOVERY="+b.discovery.addr,
		"TMPDIR="+c.tmpDir)
	if c.admin != "" {
		cmd.Env = append(cmd.Env, "GW_MGMT="+c.admin)
	}
	if c.site != "" {
		sitePath := filepath.Join(b.dir, c.name+".xml")
		if err := os.WriteFile(sitePath, []byte(c.site), 0o600); err != nil {
			return nil, err
		}
		cmd.Env = append(cmd.Env, "SPURSPREAD_SITE="+sitePath)
	}
	p := &process{bench: b, name: c.name, cmd: cmd, done: make(chan struct{})}
	if p.log, err = os.Create(filepath.Join(b.dir, c.name+".log")); err != nil {
		return nil, err
	}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := b.begin(p); err != nil {
		return nil, err
	}
	go func() {
		err := cmd.Wait()
		b.logf("process %s ended: %v", c.name, err)
		close(p.done)
	}()
	return p, b.awaitReady(c)
}

// begin starts a process, unless the run is over.
func (b *bench) begin(p *process) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return errCannotRun
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	b.processes = append(b.processes, p)
	return nil
}

func (b *bench) writeConfig(path string, c balancerConfig) error {
	sockets := c.sockets
	if sockets == 0 {
		sockets = 1024
	}
	config := map[string]any{
		"name": c.name, "listen": c.listen, "discovery": b.discovery.addr, "seed": fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits":   map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": sockets},
		"known":    b.discovery.full(),
		"settings": c.settings,
	}
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// awaitReady waits until the balancer answers PING with PONG, as the front does.
func (b *bench) awaitReady(c balancerConfig) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if call(c.listen, "PING") == "PONG" {
			b.logf("balancer %s is ready at %s", c.name, c.listen)
			return nil
		}
	}
	return fmt.Errorf("%w: balancer %s did not answer PING", errCannotRun, c.name)
}

// call sends one line on a connection of its own and returns the answer; empty if there is none.
func call(addr, line string) string {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(conn, "%s\r\n", line)
	buf := make([]byte, 256)
	n, _ := conn.Read(buf)
	for n > 0 && (buf[n-1] == '\n' || buf[n-1] == '\r') {
		n--
	}
	return string(buf[:n])
}

// signal sends a signal to the process and notes it.
func (p *process) signal(s syscall.Signal) {
	p.bench.logf("%v to %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

// ended reports whether the process has ended.
func (p *process) ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// kill ends the process, if it still runs, and waits for its end.
func (p *process) kill() {
	if !p.ended() {
		_ = p.cmd.Process.Kill()
		<-p.done
	}
	_ = p.log.Close()
}

// freeAddr returns a loopback address with a free port.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}
