package connections

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"spurspread/lab/discoveryserver"
	"spurspread/lab/procs"
)

// The request classes of clients: one as the platform has it, and one whose deadline is so long that its clients can
// be measured while they wait.
const (
	ordinaryClass    = "index-sync"
	ordinaryDeadline = 1200 * time.Millisecond
	patientClass     = "patient"
	patientDeadline  = 20 * time.Second
)

// Modes in which a balancer connects clients with servers, as the settings name them.
const (
	proxyMode = "proxy" // the balancer bounds the set-ups that are under way
	passMode  = "pass"  // it does not
)

const (
	balancerCores      = 1
	balancerMemoryMB   = 192
	classSLOMicros     = 300_000
	messageTargetBytes = 250_000
)

// balancer is one real balancer with its discovery.
type balancer struct {
	fleet     *procs.Fleet
	proc      *procs.Proc
	discovery *discoveryserver.Server
	entries   []discoveryserver.Entry
	addr      netip.AddrPort // that clients connect to
}

// startBalancer starts a balancer that may hold so many descriptors. Discovery lists so many servers, which have the
// addresses in turn.
func startBalancer(
	program, dir, mode string,
	descriptors, listedServers int,
	addrs []netip.AddrPort,
	seed uint64,
) (*balancer, error) {
	balancerDir, err := os.MkdirTemp(dir, "balancer")
	if err != nil {
		return nil, err
	}
	b := &balancer{}
	if b.discovery, err = discoveryserver.Start(0); err != nil {
		return nil, fmt.Errorf("discovery: %w", err)
	}
	b.listServers(listedServers, addrs)
	if b.fleet, err = procs.New(program, balancerDir, 1, 1, seed); err != nil {
		b.close()
		return nil, fmt.Errorf("balancer: %w", err)
	}
	b.fleet.WithoutMembership = true
	b.fleet.ModifyConfig = func(_ int, config map[string]any) { b.configure(config, mode, descriptors) }
	b.proc = b.fleet.Procs[0]
	b.addr = netip.MustParseAddrPort(b.proc.Listen)
	if err := b.fleet.Start(); err != nil {
		b.close()
		return nil, fmt.Errorf("balancer: %w", err)
	}
	return b, nil
}

// listServers has discovery list so many servers, which have the addresses in turn.
func (b *balancer) listServers(count int, addrs []netip.AddrPort) {
	for i := range count {
		entry := discoveryserver.Entry{
			ID:        fmt.Sprintf("s-%08x", i+1),
			Addr:      addrs[i%len(addrs)].String(),
			Zone:      "a",
			Machine:   "m",
			Cell:      i,
			Lifecycle: discoveryserver.Ready,
			Weight:    1,
		}
		b.entries = append(b.entries, entry)
		b.discovery.Set(entry)
	}
}

// configure changes the configuration of lab/procs to what the platform would have for this balancer.
func (b *balancer) configure(config map[string]any, mode string, descriptors int) {
	config["discovery"] = b.discovery.Addr()
	config["known"] = b.discovery.FullList()
	config["limits"] = map[string]any{
		"cores":     balancerCores,
		"memory_mb": balancerMemoryMB,
		"sockets":   descriptors,
	}
	settings := config["settings"].(map[string]any)
	settings["balancers"] = 1
	settings["rank"] = 0
	settings["request_classes"] = []any{
		classSettings(ordinaryClass, ordinaryDeadline),
		classSettings(patientClass, patientDeadline),
	}
	settings["specifics"] = map[string]any{
		"mode":        mode,
		"message_aim": []float64{messageTargetBytes, messageTargetBytes},
		"tells_delay": true,
		"tells_load":  false,
	}
}

// classSettings are the settings of a request class.
func classSettings(name string, deadline time.Duration) map[string]any {
	return map[string]any{
		"name":      name,
		"slo":       classSLOMicros,
		"deadline":  deadline.Microseconds(),
		"effect":    "read_like",
		"streaming": true,
	}
}

// changeList changes the weight of one listed server a little, which affects nothing that is measured here.
func (b *balancer) changeList(server int) {
	const weightSum = 2.0001 // of the weight before and after
	entry := &b.entries[server%len(b.entries)]
	entry.Weight = weightSum - entry.Weight
	b.discovery.Set(*entry)
}

// cost is what the balancer's process uses now.
func (b *balancer) cost() processCost { return costOf(b.proc.Pid()) }

func (b *balancer) close() {
	if b.fleet != nil {
		b.fleet.Close()
	}
	_ = b.discovery.Close()
}
