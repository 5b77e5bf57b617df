package connections

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"spurspread/lab/discoveryserver"
	"spurspread/lab/procs"
)

// Request classes of clients: an ordinary one of the platform, and one whose deadline is so long that clients can be
// measured while they wait.
const (
	ordinaryClass     = "index-sync"
	ordinaryDeadline  = 1200 * time.Millisecond
	longDeadlineClass = "patient"
	longDeadline      = 20 * time.Second
)

// Modes in which a balancer connects clients to servers, by their names in the settings.
const (
	proxyMode = "proxy" // the balancer limits the set-ups in progress
	passMode  = "pass"  // the balancer does not limit them
)

const (
	balancerCores      = 1
	balancerMemoryMB   = 192
	classSLOMicros     = 300_000
	messageTargetBytes = 250_000
)

// balancer is one real balancer process with its discovery server.
type balancer struct {
	fleet     *procs.Fleet
	proc      *procs.Proc
	discovery *discoveryserver.Server
	entries   []discoveryserver.Entry
	addr      netip.AddrPort // address for clients
}

// startBalancer starts a balancer with a limit of descriptors. Discovery lists a number of servers, to which the
// addresses are assigned in turn.
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
		return nil, fmt.Errorf("start discovery: %w", err)
	}
	b.listServers(listedServers, addrs)
	if b.fleet, err = procs.New(program, balancerDir, 1, 1, seed); err != nil {
		b.close()
		return nil, fmt.Errorf("configure balancer: %w", err)
	}
	b.fleet.WithoutMembership = true
	b.fleet.ModifyConfig = func(_ int, config map[string]any) { b.configure(config, mode, descriptors) }
	b.proc = b.fleet.Procs[0]
	b.addr = netip.MustParseAddrPort(b.proc.Listen)
	if err := b.fleet.Start(); err != nil {
		b.close()
		return nil, fmt.Errorf("start balancer: %w", err)
	}
	return b, nil
}

// listServers has discovery list a number of servers, to which the addresses are assigned in turn.
func (b *balancer) listServers(count int, addrs []netip.AddrPort) {
	for i := range count {
		entry := discoveryserver.Entry{
			ID:          fmt.Sprintf("s-%08x", i+1),
			Addr:        addrs[i%len(addrs)].String(),
			Zone:        "a",
			MachineType: "m",
			Cell:        i,
			Lifecycle:   discoveryserver.Ready,
			Weight:      1,
		}
		b.entries = append(b.entries, entry)
		b.discovery.Publish(entry)
	}
}

// configure changes the configuration of lab/procs to that of a balancer on the platform.
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
		classSettings(longDeadlineClass, longDeadline),
	}
	settings["specifics"] = map[string]any{
		"mode":        mode,
		"message_aim": []float64{messageTargetBytes, messageTargetBytes},
		"tells_delay": true,
		"tells_load":  false,
	}
}

// classSettings returns the settings of a request class.
func classSettings(name string, deadline time.Duration) map[string]any {
	return map[string]any{
		"name":      name,
		"slo":       classSLOMicros,
		"deadline":  deadline.Microseconds(),
		"effect":    "read_like",
		"streaming": true,
	}
}

// changeList changes the weight of one listed server slightly, which has no effect on the measured figures but makes
// discovery send the change.
func (b *balancer) changeList(server int) {
	const weightSum = 2.0001 // sum of the weights before and after a change
	entry := &b.entries[server%len(b.entries)]
	entry.Weight = weightSum - entry.Weight
	b.discovery.Publish(*entry)
}

// cost returns the current resource usage of the balancer process.
func (b *balancer) cost() processCost { return costOf(b.proc.Pid()) }

// close stops the balancer and its discovery server.
func (b *balancer) close() {
	if b.fleet != nil {
		b.fleet.Close()
	}
	_ = b.discovery.Close()
}
