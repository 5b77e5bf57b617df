//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// readyTimeout bounds the wait for a process that was started.
const readyTimeout = 15 * time.Second

// memoryMB is the memory limit of each balancer.
const memoryMB = 192

// world is what a case plays in: a temporary folder, the record, discovery, and the processes that it has started.
type world struct {
	trouble   bool
	root, dir string
	started   time.Time
	discovery *discovery
	peakKB    int // greatest resident memory that was seen

	mu        sync.Mutex
	record    *os.File
	closed    bool
	processes []*process
}

func newWorld(record *os.File, trouble bool) (*world, error) {
	root, err := os.Getwd()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, root: root, dir: dir, started: time.Now(), record: record}
	if w.discovery, err = startDiscovery(w); err != nil {
		return nil, err
	}
	w.logf("trouble: %v", trouble)
	return w, nil
}

// logf writes a line with the time in seconds to the record.
func (w *world) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.closed {
		_, _ = fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
	}
}

// close ends all processes, and removes the temporary folder.
func (w *world) close() {
	for _, p := range w.processes {
		p.kill()
		for _, line := range p.notableLog() {
			w.logf("log of %s: %s", p.name, line)
		}
	}
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	_ = w.record.Close()
	_ = os.RemoveAll(w.dir)
}

// balancerConfig is what a case chooses of a balancer's configuration.
type balancerConfig struct {
	name     string
	listen   string // "" for a free address
	mgmt     string
	site     string // content of the site file; "" for none
	sockets  int
	settings map[string]any
	known    any
}

// process is a balancer that the case has started.
type process struct {
	name    string
	listen  string
	config  string // path of its configuration
	logPath string
	cmd     *exec.Cmd
	exited  chan struct{}
}

// startBalancer starts a balancer by the run line of the deploy file and waits until it answers PING.
func (w *world) startBalancer(c balancerConfig) (*process, error) {
	if c.listen == "" {
		c.listen = freeAddress()
	}
	run, err := deployLine(filepath.Join(w.root, "deploy", "balancer.toml"), "run")
	if err != nil {
		return nil, err
	}
	p := &process{
		name: c.name, listen: c.listen, exited: make(chan struct{}),
		config: filepath.Join(w.dir, c.name+".json"), logPath: filepath.Join(w.dir, c.name+".log"),
	}
	if err := w.writeConfig(p.config, &c); err != nil {
		return nil, err
	}
	p.cmd = exec.Command("/bin/sh", "-c", run)
	p.cmd.Dir = w.root
	p.cmd.Env = append(os.Environ(), "GW_CONFIG="+p.config, "GW_NAME="+c.name, "TMPDIR="+w.dir, "GW_MGMT="+c.mgmt)
	if c.site != "" {
		path := filepath.Join(w.dir, c.name+".xml")
		if err := os.WriteFile(path, []byte(c.site), 0o600); err != nil {
			return nil, err
		}
		p.cmd.Env = append(p.cmd.Env, "SPURSPREAD_SITE="+path)
	}
	log, err := os.Create(p.logPath)
	if err != nil {
		return nil, err
	}
	defer func() { _ = log.Close() }()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	// If the case itself is killed, its processes end, too.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	w.processes = append(w.processes, p)
	go func() {
		_ = p.cmd.Wait()
		w.logf("%s has exited: %v", p.name, p.cmd.ProcessState)
		close(p.exited)
	}()
	if err := p.waitReady(); err != nil {
		return nil, err
	}
	w.logf("%s serves", p.name)
	return p, nil
}

// writeConfig writes a balancer's configuration, as the platform would.
func (w *world) writeConfig(path string, c *balancerConfig) error {
	if c.sockets == 0 {
		c.sockets = 1024
	}
	if c.known == nil {
		c.known = w.discovery.list()
	}
	text, err := json.Marshal(map[string]any{
		"name": c.name, "listen": c.listen, "discovery": w.discovery.addr, "seed": "8c1f30d27a5be964",
		"limits":   map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": c.sockets},
		"known":    c.known,
		"settings": c.settings,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// deployLine returns the value of a key of the deploy file.
func deployLine(path, key string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	found := regexp.MustCompile(`(?m)^` + key + ` = "(.*)"$`).FindSubmatch(text)
	if found == nil {
		return "", fmt.Errorf("%s has no line %s", path, key)
	}
	return string(found[1]), nil
}

// waitReady waits until the balancer answers PING with PONG.
func (p *process) waitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if p.hasExited() {
			return fmt.Errorf("%s has exited", p.name)
		}
		if answer, err := ask(p.listen, "PING\r\n"); err == nil && answer == "PONG" {
			return nil
		}
	}
	return fmt.Errorf("%s does not answer PING", p.name)
}

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

func (p *process) kill() {
	if !p.hasExited() {
		p.signal(syscall.SIGKILL)
		<-p.exited
	}
}

// notableLog returns the first lines of the process's log that are no statistics.
func (p *process) notableLog() (lines []string) {
	text, _ := os.ReadFile(p.logPath)
	for line := range strings.Lines(string(text)) {
		if !strings.Contains(line, "msg=statistics") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines[:min(len(lines), 60)]
}

// ask sends a line on a connection of its own and returns the answer's first line.
func ask(addr, line string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	if _, err := c.Write([]byte(line)); err != nil {
		return "", err
	}
	answer, err := bufio.NewReader(c).ReadString('\n')
	return strings.TrimRight(answer, "\r\n"), err
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// smallDeployment returns settings like those of trinidad-main, with one balancer.
func smallDeployment() map[string]any {
	class := func(name string, aim, deadline int, worth float64) map[string]any {
		return map[string]any{
			"name": name, "slo": aim * 1000, "deadline": deadline * 1000, "effect": "read_like",
			"streaming": true, "worth": worth, "window": 5_000_000, "key_scope": "all",
		}
	}
	return map[string]any{
		"balancers": 1, "rank": 0, "zone": 0, "dcs": []string{"here"}, "skus": []string{"standard"},
		"discovery": "ask", "weights": "nominal",
		"limits": map[string]any{
			"most_tries": 4, "probes": true, "may_cancel": true, "retry_after": true,
			"max_retry_after": 1_000_000, "connect_timeout": 75_000,
		},
		"rules": map[string]any{
			"answer_slack": 8_000, "ask_every": 10_000_000, "cold": 23_000_000, "cold_from": 0.13,
			"drain_grace": 2_500_000, "overload_factor": 3.0, "tip_after": 1_000_000,
		},
		"request_classes": []any{class("index-sync", 300, 1200, 5), class("metadata-watch", 500, 2000, 1)},
		"specifics": map[string]any{
			"mode": "proxy", "message_aim": []float64{250_000, 50_000}, "tells_delay": true, "tells_load": false,
		},
		"tenants": []any{},
	}
}
