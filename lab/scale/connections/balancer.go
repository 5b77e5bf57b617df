package connections

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"spurspread/lab/discoveryserver"
	"spurspread/lab/procs"
)

// The classes of clients here: one as the platform has it, and one whose clients wait long enough to be measured
// while they do.
const (
	ordinary     = "index-sync"
	ordinaryTime = 1200 * time.Millisecond
	patient      = "patient"
	patientTime  = 20 * time.Second
)

// balancer is one real balancer, with discovery.
type balancer struct {
	fleet     *procs.Fleet
	proc      *procs.Proc
	discovery *discoveryserver.Server
	entries   []discoveryserver.Entry
	to        netip.AddrPort
}

// startBalancer starts one that may hold so many descriptors, and is told of so many servers at the addresses, in
// turn. Mode is the platform's word for how it sends clients on.
func startBalancer(
	program, dir, mode string,
	limit, listed int,
	addrs []netip.AddrPort,
	seed uint64,
) (*balancer, error) {
	sub, err := os.MkdirTemp(dir, "balancer")
	if err != nil {
		return nil, err
	}
	b := &balancer{}
	if b.discovery, err = discoveryserver.Start(0); err != nil {
		return nil, err
	}
	for i := range listed {
		e := discoveryserver.Entry{
			ID: fmt.Sprintf("s-%08x", i+1), Addr: addrs[i%len(addrs)].String(), Zone: "a", Machine: "m", Cell: i,
			Lifecycle: discoveryserver.Ready, Weight: 1,
		}
		b.entries = append(b.entries, e)
		b.discovery.Set(e)
	}
	if b.fleet, err = procs.New(program, sub, 1, 1, seed); err != nil {
		b.close()
		return nil, err
	}
	b.fleet.Apart = true
	b.fleet.Change = func(_ int, config map[string]any) { b.configure(config, mode, limit) }
	b.proc = b.fleet.Procs[0]
	b.to = netip.MustParseAddrPort(b.proc.Listen)
	if err := b.fleet.Start(); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

// configure writes what the platform would tell it, where that differs from lab/procs.
func (b *balancer) configure(config map[string]any, mode string, limit int) {
	config["discovery"], config["known"] = b.discovery.Addr(), b.discovery.FullList()
	config["limits"] = map[string]any{"cores": 1, "memory_mb": 192, "sockets": limit}
	class := func(name string, deadline time.Duration) map[string]any {
		return map[string]any{
			"name":      name,
			"slo":       300_000,
			"deadline":  deadline.Microseconds(),
			"effect":    "read_like",
			"streaming": true,
		}
	}
	settings := config["settings"].(map[string]any)
	settings["balancers"], settings["rank"] = 1, 0
	settings["request_classes"] = []any{class(ordinary, ordinaryTime), class(patient, patientTime)}
	settings["specifics"] = map[string]any{
		"mode":        mode,
		"message_aim": []float64{250_000, 250_000},
		"tells_delay": true,
		"tells_load":  false,
	}
}

// change tells a change of one server's weight, which matters to nothing that is measured here.
func (b *balancer) change(i int) {
	e := &b.entries[i%len(b.entries)]
	e.Weight = 2.0001 - e.Weight
	b.discovery.Set(*e)
}

func (b *balancer) cost() cost { return costOf(b.proc.Pid()) }

func (b *balancer) close() {
	if b.fleet != nil {
		b.fleet.Close()
	}
	_ = b.discovery.Close()
}
