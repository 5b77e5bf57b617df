// Package procs runs processes of the balancer as members of one fleet. Each has an address, a folder, a site file
// and a log of its own; it can be killed, paused and started again, with its folder kept or emptied. Datagrams
// between them pass through lab/faultproxy. The package ends only what it started, and must not know what a test
// proves: the views of the processes are read from their management addresses and logs.
package procs

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"spurspread/lab/faultproxy"
)

const (
	secretBytes       = 32
	secretByte        = 0x5a
	dirMode           = 0o700
	fileMode          = 0o600
	awaitPollInterval = 20 * time.Millisecond // between two looks at an awaited condition
)

// Fleet is some processes, and the links between them. Its exported fields are set before Start.
type Fleet struct {
	Program string // path of the executable
	Dir     string // of its files
	Proxy   *faultproxy.Proxy
	Procs   []*Proc
	// Site is added to each site file, within the root element.
	Site string
	// WithoutMembership leaves membership out of the site files: no process knows of another.
	WithoutMembership bool
	// KnownServers is the list of nodes in each process's configuration, as discovery writes it.
	KnownServers []any
	// ModifyConfig changes a process's configuration before it is written, see Proc.config; nil changes nothing.
	ModifyConfig func(i int, config map[string]any)
	// ZoneOf is the region and zone of a process; nil, or an empty zone, puts it in none.
	ZoneOf func(i int) (region, zone string)
	// Seeds are the seed addresses in a process's site file; nil: the first few processes.
	Seeds func(i int) []netip.AddrPort

	seedCount int              // of the first processes, which are seeds unless Seeds is set
	addrs     []netip.AddrPort // where each process receives datagrams
}

// SealingKey is the key that seals the datagrams of all fleets.
func SealingKey() []byte { return bytes.Repeat([]byte{secretByte}, secretBytes) }

// New prepares n processes that are not started, at free loopback addresses. The first seeds of them are the seeds of
// all. The seed is that of the proxy's random draws.
func New(program, dir string, n, seeds int, seed uint64) (*Fleet, error) {
	ips, err := FreeLoopbacks(n)
	if err != nil {
		return nil, err
	}
	return NewAt(program, dir, ips, seeds, seed)
}

// NewAt is New at given loopback addresses, of one process each.
func NewAt(program, dir string, ips []netip.Addr, seeds int, seed uint64) (*Fleet, error) {
	f := &Fleet{Program: program, Dir: dir, seedCount: seeds}
	for i, ip := range ips {
		p := newProc(f, i, ip)
		if err := os.MkdirAll(p.Dir, dirMode); err != nil {
			return nil, err
		}
		f.addrs = append(f.addrs, netip.AddrPortFrom(ip, fleetPort))
		f.Procs = append(f.Procs, p)
	}
	key := hex.EncodeToString(SealingKey()) + "\n"
	if err := os.WriteFile(f.keyPath(), []byte(key), fileMode); err != nil {
		return nil, err
	}
	var err error
	if f.Proxy, err = faultproxy.New(f.addrs, seed); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *Fleet) keyPath() string { return filepath.Join(f.Dir, "key") }

// Start starts all processes at the same time, and waits until each answers. It returns all their errors.
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

// Close kills all processes that were started, and closes the links.
func (f *Fleet) Close() {
	for _, p := range f.Procs {
		p.Continue()
		p.Kill()
	}
	_ = f.Proxy.Close()
}

// ErrAwait is the error of a condition that did not hold in time.
var ErrAwait = errors.New("condition not met")

// Await polls a condition until it holds. After the timeout it returns ErrAwait with the condition's name.
func Await(timeout time.Duration, condition string, holds func() bool) error {
	for end := time.Now().Add(timeout); !holds(); time.Sleep(awaitPollInterval) {
		if time.Now().After(end) {
			return fmt.Errorf("%w within %v: %s", ErrAwait, timeout, condition)
		}
	}
	return nil
}

// Converged reports whether every running process among these sees exactly these as alive, and all others as dead or
// left.
func (f *Fleet) Converged(alive []int) bool {
	isAlive := map[string]bool{}
	for _, i := range alive {
		isAlive[f.Procs[i].Name] = true
	}
	for _, p := range f.Procs {
		if p.Running() && isAlive[p.Name] && !f.viewMatches(p, isAlive) {
			return false
		}
	}
	return true
}

// viewMatches reports whether a process's view has exactly the given members alive, and all others dead or left.
func (f *Fleet) viewMatches(p *Proc, isAlive map[string]bool) bool {
	v, err := p.View()
	if err != nil {
		return false
	}
	for _, other := range f.Procs {
		state, _ := v.State(other.Name)
		if isAlive[other.Name] != (state == "alive") {
			return false
		}
		if !isAlive[other.Name] && state != "dead" && state != "left" {
			return false
		}
	}
	return true
}
