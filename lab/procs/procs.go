// Package procs runs processes of the program, as members of one fleet, each with an address, a folder, a site file
// and a log of its own; it kills, pauses and starts them again, with their folder kept or emptied. It ends only
// what it started. What goes on between them passes through lab/faultproxy; what they say of each other is asked
// over their management addresses.
package procs

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"spurspread/lab/faultproxy"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of single steps; nothing is proved by their passing.
const (
	startTime = 20 * time.Second
	callTime  = 3 * time.Second
	endTime   = 20 * time.Second
)

// Fleet is some processes, and the links between them.
type Fleet struct {
	Program string
	Dir     string
	Net     *faultproxy.Proxy
	Procs   []*Proc
	// Site is added to each site file, within the root element.
	Site string
	// Apart leaves membership out of the site files.
	Apart bool
	// Known is the list of nodes that each process is told of at its start, as discovery writes it.
	Known []any
	// Change changes a process's configuration before it is written; see config.
	Change func(i int, config map[string]any)
	// Place tells in which region and zone a process stands; all stand in none where it is nil, or tells no zone.
	Place func(i int) (region, zone string)
	// Seeds are the addresses that a process is told of at its start, in place of the first few processes.
	Seeds func(i int) []netip.AddrPort

	seeds int
	at    []netip.AddrPort
}

// Proc is one of them.
type Proc struct {
	f      *Fleet
	i      int
	Name   string
	Listen string // where clients connect
	Mgmt   string
	Folder string

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{}
	tail      []string
	stopped   bool // paused
	onLogLine func(line string)
}

// secret is the fleet's key as its file has it.
var secret = []byte(hex.EncodeToString(Secret()))

// New prepares n processes that are not started. The first seeds of them are everybody's seeds.
func New(program, dir string, n, seeds int, seed uint64) (*Fleet, error) {
	ips, err := Loopbacks(n)
	if err != nil {
		return nil, err
	}
	return NewAt(program, dir, ips, seeds, seed)
}

// NewAt is New at given loopback addresses, of one process each.
func NewAt(program, dir string, ips []netip.Addr, seeds int, seed uint64) (*Fleet, error) {
	f := &Fleet{Program: program, Dir: dir, seeds: seeds}
	var err error
	for i, ip := range ips {
		at := func(port uint16) string { return netip.AddrPortFrom(ip, port).String() }
		f.at = append(f.at, netip.AddrPortFrom(ip, fleetPort))
		p := &Proc{
			f:      f,
			i:      i,
			Name:   fmt.Sprint("n", i),
			Folder: filepath.Join(dir, fmt.Sprint("n", i)),
			Listen: at(listenPort),
			Mgmt:   at(mgmtPort),
		}
		if err := os.MkdirAll(p.Folder, 0o700); err != nil {
			return nil, err
		}
		f.Procs = append(f.Procs, p)
	}
	if err := os.WriteFile(filepath.Join(dir, "key"), append(secret, '\n'), 0o600); err != nil {
		return nil, err
	}
	if f.Net, err = faultproxy.New(f.at, seed); err != nil {
		return nil, err
	}
	return f, nil
}

// Ports of each process, on an address of its own: below those that the kernel deals out.
const (
	listenPort = 7001 + iota
	mgmtPort
	fleetPort
)

// FleetPort is where each process takes datagrams of the fleet, on its own address.
const FleetPort = fleetPort

// perNet is how many loopback addresses are taken of each 256.
const perNet = 250

// Secret seals the datagrams of all fleets here.
func Secret() []byte { return bytes.Repeat([]byte{0x5a}, 32) }

// Loopbacks finds n loopback addresses on which nobody uses the ports. Addresses in 127.0.0.0/8 need no setting up, and
// outgoing connections come from 127.0.0.1, so that nothing takes a port between its check and its use.
func Loopbacks(n int) ([]netip.Addr, error) {
	var err error
	for range 20 {
		x, y := byte(64+rand.IntN(128)), rand.IntN(256-n/perNet)
		var all []netip.Addr
		for i := range n {
			ip := netip.AddrFrom4([4]byte{127, x, byte(y + i/perNet), byte(i%perNet + 1)})
			if err = free(ip); err != nil {
				break
			}
			all = append(all, ip)
		}
		if len(all) == n {
			return all, nil
		}
	}
	return nil, fmt.Errorf("no %d free loopback addresses: %w", n, err)
}

func free(ip netip.Addr) error {
	for _, port := range []uint16{listenPort, mgmtPort} {
		ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(netip.AddrPortFrom(ip, port)))
		if err != nil {
			return err
		}
		_ = ln.Close()
	}
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, fleetPort)))
	if err != nil {
		return err
	}
	return c.Close()
}

func (p *Proc) writeSite() error {
	var b bytes.Buffer
	fmt.Fprintf(&b, `<spurspread xmlns="urn:spurspread:site:1" name="rig">%s`, p.f.Site)
	if !p.f.Apart {
		fmt.Fprintf(&b, "\n"+`  <fleet member="%s" listen="%s"%s><seeds>`, p.Name, p.f.at[p.i], p.place())
		for _, at := range p.f.seedsOf(p.i) {
			fmt.Fprintf(&b, `<seed at="%s"/>`, at)
		}
		b.WriteString("</seeds><reach>")
		for j, other := range p.f.Procs {
			if j != p.i {
				fmt.Fprintf(&b, `<member name="%s" at="%s"/>`, other.Name, p.f.Net.Via(p.i, j))
			}
		}
		fmt.Fprintf(
			&b,
			`</reach><keys><key id="rig" file="%s" use="mint"/></keys></fleet>`,
			filepath.Join(p.f.Dir, "key"),
		)
	}
	b.WriteString("\n</spurspread>\n")
	return os.WriteFile(p.site(), b.Bytes(), 0o600)
}

// place is the attributes of <fleet> that tell where the process stands.
func (p *Proc) place() (attributes string) {
	if p.f.Place == nil {
		return ""
	}
	region, zone := p.f.Place(p.i)
	if region != "" {
		attributes += fmt.Sprintf(` region="%s"`, region)
	}
	if zone != "" {
		attributes += fmt.Sprintf(` zone="%s"`, zone)
	}
	return attributes
}

// seedsOf are the addresses of the first few processes, as this one reaches them, or what Seeds says.
func (f *Fleet) seedsOf(i int) (out []netip.AddrPort) {
	if f.Seeds != nil {
		return f.Seeds(i)
	}
	for s := range min(f.seeds, len(f.Procs)) {
		if s != i {
			out = append(out, f.Net.Via(i, s))
		}
	}
	return out
}

func (p *Proc) site() string { return filepath.Join(p.f.Dir, p.Name+".xml") }

// config is what the platform would tell the process.
func (p *Proc) config() map[string]any {
	c := map[string]any{
		"name": p.Name, "listen": p.Listen, "mgmt": p.Mgmt, "discovery": "127.0.0.1:1",
		"seed":   fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"generation": 0, "reset": true, "instances": append([]any{}, p.f.Known...)},
		"settings": map[string]any{
			"balancers": len(
				p.f.Procs,
			), "rank": p.i, "zone": 0, "dcs": []string{"a"}, "skus": []string{"m"}, "discovery": "push",
			"limits": map[string]any{
				"most_tries": 4, "probes": true, "may_cancel": true, "retry_after": true, "max_retry_after": 1_000_000,
				"connect_timeout": 75_000,
			},
			"rules": map[string]any{
				"cold":            23_000_000,
				"cold_from":       0.13,
				"drain_grace":     2_500_000,
				"overload_factor": 3,
				"tip_after":       1_000_000,
			},
			"request_classes": []any{
				map[string]any{
					"name":      "sync",
					"slo":       300_000,
					"deadline":  1_200_000,
					"effect":    "read_like",
					"streaming": true,
				},
			},
			"specifics": map[string]any{"mode": "proxy", "message_aim": []float64{250_000}}, "tenants": []any{},
		},
	}
	if p.f.Change != nil {
		p.f.Change(p.i, c)
	}
	return c
}

// Start starts the process, and waits until its management address answers.
func (p *Proc) Start() error {
	if err := p.writeSite(); err != nil {
		return err
	}
	path := filepath.Join(p.f.Dir, p.Name+".json")
	text, err := json.Marshal(p.config())
	if err != nil {
		return err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	cmd := exec.Command(p.f.Program)
	cmd.Env = []string{
		"GW_CONFIG=" + path,
		"SPURSPREAD_LOG_FORMAT=json",
		"SPURSPREAD_SITE=" + p.site(),
		"TMPDIR=" + p.Folder,
	}
	said, err := cmd.StderrPipe()
	if err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done, p.tail, p.stopped = cmd, done, nil, false
	p.mu.Unlock()
	go func() {
		for lines := bufio.NewScanner(said); lines.Scan(); {
			p.mu.Lock()
			if p.tail = append(p.tail, lines.Text()); len(p.tail) > 40 {
				p.tail = p.tail[1:]
			}
			heard := p.onLogLine
			p.mu.Unlock()
			if heard != nil {
				heard(lines.Text())
			}
		}
		_ = cmd.Wait() // how it ended stands in its state
		close(done)
	}()
	for late := time.Now().Add(startTime); ; time.Sleep(5 * time.Millisecond) {
		if _, err := p.Admin("PING"); err == nil {
			return nil
		}
		select {
		case <-done:
			return fmt.Errorf("%s ended at its start: %v", p.Name, p.Tail())
		default:
		}
		if time.Now().After(late) {
			return fmt.Errorf("%s never answered: %v", p.Name, p.Tail())
		}
	}
}

// Admin makes a call of the management address, and returns what stands behind +OK.
func (p *Proc) Admin(call string) (string, error) {
	c, err := net.DialTimeout("tcp", p.Mgmt, callTime)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(callTime))
	if _, err := fmt.Fprint(c, call, "\r\n"); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return "", err
	}
	if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "+OK"); ok {
		return strings.TrimSpace(rest), nil
	}
	return "", fmt.Errorf("%s answered %q", p.Name, strings.TrimSpace(line))
}

// View is the fleet as one process tells it. Live, Zones and Records are told in fleets with zones only, where
// Members are those of the process's own zone.
type View struct {
	Suspicions bool    `json:"doubts"`
	Divisor    float64 `json:"divisor"`
	Members    []struct {
		Name        string  `json:"name"`
		State       string  `json:"state"`
		Incarnation uint64  `json:"incarnation"`
		LostOut     float64 `json:"lost_out"`
		LostIn      float64 `json:"lost_in"`
	} `json:"members"`
	Live  int `json:"live"`
	Zones []struct {
		Zone  string `json:"zone"`
		State string `json:"state"`
	} `json:"zones"`
	Records []struct {
		Name  string `json:"name"`
		Value string `json:"value"`
	} `json:"records"`
}

// View asks for it.
func (p *Proc) View() (*View, error) {
	text, err := p.Admin("MEMBERS")
	if err != nil {
		return nil, err
	}
	v := &View{}
	return v, json.Unmarshal([]byte(text), v)
}

// State is what the view has of a member, "" where it has none of the name.
func (v *View) State(name string) (state string, incarnation uint64) {
	for _, m := range v.Members {
		if m.Name == name {
			return m.State, m.Incarnation
		}
	}
	return "", 0
}

// ZoneState is what a zone is held to be, "" where none of the name is known.
func (v *View) ZoneState(zone string) string {
	for _, z := range v.Zones {
		if z.Zone == zone {
			return z.State
		}
	}
	return ""
}

// Record is the value of a record, "" where there is none of the name.
func (v *View) Record(name string) string {
	for _, r := range v.Records {
		if r.Name == name {
			return r.Value
		}
	}
	return ""
}

// Pid is the number of its process.
func (p *Proc) Pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// Tail is the end of its log.
func (p *Proc) Tail() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.tail...)
}

// OnLogLine has each line of the log told from now on; nil ends it.
func (p *Proc) OnLogLine(heard func(line string)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.onLogLine = heard
}

// Runs tells whether its process is there and not paused.
func (p *Proc) Runs() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil || p.stopped {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *Proc) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // one that has ended needs none
	}
	switch s {
	case syscall.SIGSTOP:
		p.stopped = true
	case syscall.SIGCONT:
		p.stopped = false
	}
}

// Pause stops the process; Continue lets it go on.
func (p *Proc) Pause() { p.signal(syscall.SIGSTOP) }

// Continue lets a paused process go on.
func (p *Proc) Continue() { p.signal(syscall.SIGCONT) }

// Kill ends the process without a word.
func (p *Proc) Kill() {
	p.signal(syscall.SIGKILL)
	p.wait()
}

// Terminate has it end in the planned way.
func (p *Proc) Terminate() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGTERM)
}

// Stop ends it in the planned way, and returns its exit code.
func (p *Proc) Stop() int {
	p.Terminate()
	return p.wait()
}

func (p *Proc) wait() int {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return 0
	}
	select {
	case <-done:
	case <-time.After(endTime):
		_ = cmd.Process.Kill()
		<-done
	}
	return cmd.ProcessState.ExitCode()
}

// Empty forgets all that the process has kept.
func (p *Proc) Empty() error {
	return errors.Join(os.RemoveAll(p.Folder), os.MkdirAll(p.Folder, 0o700))
}

// Start starts all processes at once.
func (f *Fleet) Start() error {
	errs := make([]error, len(f.Procs))
	var wg sync.WaitGroup
	for i, p := range f.Procs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			errs[i] = p.Start()
		}()
	}
	wg.Wait()
	return errors.Join(errs...)
}

// Close ends all that was started.
func (f *Fleet) Close() {
	for _, p := range f.Procs {
		p.Continue()
		p.Kill()
	}
	_ = f.Net.Close()
}

// Await waits until something holds.
func Await(within time.Duration, what string, holds func() bool) error {
	for late := time.Now().Add(within); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(late) {
			return fmt.Errorf("not within %v: %s", within, what)
		}
	}
	return nil
}

// Agreed tells whether all that run hold these to be alive, and all others dead or gone.
func (f *Fleet) Agreed(alive []int) bool {
	is := map[string]bool{}
	for _, i := range alive {
		is[f.Procs[i].Name] = true
	}
	for _, p := range f.Procs {
		if !p.Runs() || !is[p.Name] {
			continue
		}
		v, err := p.View()
		if err != nil {
			return false
		}
		for _, o := range f.Procs {
			s, _ := v.State(o.Name)
			if is[o.Name] && s != "alive" || !is[o.Name] && s != "dead" && s != "left" {
				return false
			}
		}
	}
	return true
}
