// Package procs runs processes of the balancer as members of one Fleet. Each Proc has its own address, directory, site
// file and log. It can be killed, paused and restarted, with its directory kept or emptied. Datagrams between the
// processes pass through a lab/faultproxy. A Testbed runs scripts of lab/scenario on such a fleet.
//
// The package ends only processes that it has started. It contains no checks: it reads the processes' views from their
// management addresses and their logs, and passes them on.
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
	sealingKeySize    = 32
	sealingKeyByte    = 0x5a
	dirMode           = 0o700
	fileMode          = 0o600
	awaitPollInterval = 20 * time.Millisecond // between two checks of an awaited condition
)

// Fleet is a set of processes and the links between them. Its exported fields must not change after Start.
type Fleet struct {
	Program string // path of the balancer's executable
	Dir     string // of all files; each process has a subdirectory
	Proxy   *faultproxy.Proxy
	Procs   []*Proc
	// Site is XML that each site file has in its root element, before <fleet>.
	Site string
	// WithoutMembership leaves <fleet> out of the site files, so that no process knows any other.
	WithoutMembership bool
	// KnownServers is the server list in each process's configuration, in the format of discovery.
	KnownServers []any
	// ModifyConfig changes the configuration of process i before it is written; nil means no changes. See Proc.config.
	ModifyConfig func(i int, config map[string]any)
	// ZoneOf returns the region and zone of process i. If it is nil or returns empty names, the process has none.
	ZoneOf func(i int) (region, zone string)
	// Seeds returns the seed addresses of process i. If it is nil, the first seedCount processes are the seeds.
	Seeds func(i int) []netip.AddrPort

	seedCount int              // see New
	addrs     []netip.AddrPort // where each process receives datagrams
}

// SealingKey returns the key that seals the datagrams of all fleets.
func SealingKey() []byte { return bytes.Repeat([]byte{sealingKeyByte}, sealingKeySize) }

// New prepares n processes on free loopback addresses, and does not start them. The first seedCount processes are the
// seed members of the fleet, unless Seeds is set. randomSeed is that of the proxy's random source.
func New(program, dir string, n, seedCount int, randomSeed uint64) (*Fleet, error) {
	ips, err := FreeLoopbacks(n)
	if err != nil {
		return nil, err
	}
	return NewAt(program, dir, ips, seedCount, randomSeed)
}

// NewAt is New with one process on each of the given loopback addresses.
func NewAt(program, dir string, ips []netip.Addr, seedCount int, randomSeed uint64) (*Fleet, error) {
	f := &Fleet{Program: program, Dir: dir, seedCount: seedCount}
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
	if f.Proxy, err = faultproxy.New(f.addrs, randomSeed); err != nil {
		return nil, err
	}
	return f, nil
}

func (f *Fleet) keyPath() string { return filepath.Join(f.Dir, "key") }

// Start starts all processes at the same time, and waits until each answers. It returns the errors of all, joined.
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

// Close kills all processes that were started, and closes the proxy.
func (f *Fleet) Close() {
	for _, p := range f.Procs {
		p.Continue()
		p.Kill()
	}
	_ = f.Proxy.Close()
}

// ErrAwait means that an awaited condition did not hold before the timeout.
var ErrAwait = errors.New("condition not met")

// Await polls a condition until it holds. After the timeout it returns an error that wraps ErrAwait and names the
// condition.
func Await(timeout time.Duration, condition string, holds func() bool) error {
	for end := time.Now().Add(timeout); !holds(); time.Sleep(awaitPollInterval) {
		if time.Now().After(end) {
			return fmt.Errorf("%w within %v: %s", ErrAwait, timeout, condition)
		}
	}
	return nil
}

// Converged reports whether all running processes among the given ones see exactly the given ones as alive, and all
// others as dead or left.
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

// viewMatches reports whether in a process's view exactly the given members are alive and all others are dead or left.
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
