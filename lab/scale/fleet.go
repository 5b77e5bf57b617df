package scale

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sync"
	"time"

	"spurspread/lab/link"
	"spurspread/lab/procs"
)

// Distribution of members over processes.
const (
	minRealMembers       = 8
	maxRealMembers       = 24
	membersPerRealMember = 60 // fleet size per real member, within the limits above
	maxProcesses         = 6  // of stub members
	maxLoopsPerProcess   = 2
	membersPerLoop       = 30 // stub members for each loop; a smaller fleet has fewer loops
	minLoops             = 2  // loops that are allowed however few cores the machine has
)

// startSpread is the time over which all members are started. They start together, as after a power failure, but not at
// the same instant.
const startSpread = 4 * time.Second

// fleetStream identifies the random number stream of scenarios, which is drawn from the seed of the run.
const fleetStream = 0x7363616c65

// fleet holds the members of a run, and the observations of them.
type fleet struct {
	topology      *Topology
	dir           string       // for the files of real members
	realFleet     *procs.Fleet // the processes of the members with the lowest numbers
	stubProcesses []*process
	processOf     map[int]*process // by stub member
	monitor       *monitor
	injected      InjectedFault
	loss          float64 // share of the datagrams between regions that is lost
	rng           *rand.Rand
	log           func(format string, args ...any)

	cancel     context.CancelCauseFunc // ends the run early, with the reason
	closing    chan struct{}           // closed by close
	tasks      sync.WaitGroup
	usage      usageMeter
	realStates []realState // by real member
}

// realMemberCount returns the number of real members in a fleet of a size.
func realMemberCount(members int) int {
	return min(max(members/membersPerRealMember, minRealMembers), maxRealMembers)
}

// newFleet prepares the processes of a fleet and starts those of stub members; no member is started yet. The fleet
// calls cancel with the reason if the run has to end early. An error means that the fault is unknown or that a process
// could not be prepared.
func newFleet(o Options, topology *Topology, dir string, cancel context.CancelCauseFunc) (*fleet, error) {
	f := &fleet{
		topology:   topology,
		dir:        dir,
		processOf:  map[int]*process{},
		monitor:    newMonitor(topology),
		injected:   InjectedFault(o.Fault),
		loss:       o.Loss,
		rng:        rand.New(rand.NewPCG(o.Seed, fleetStream)),
		log:        o.progressLogger(),
		cancel:     cancel,
		closing:    make(chan struct{}),
		usage:      newUsageMeter(topology.RealMembers),
		realStates: make([]realState, topology.RealMembers),
	}
	if f.injected != "" && !slices.Contains(InjectedFaults, f.injected) {
		return nil, fmt.Errorf("unknown fault %q for a scale run, expected one of %v", f.injected, InjectedFaults)
	}
	if err := f.prepareRealMembers(o.Program); err != nil {
		return nil, err
	}
	command := o.stubCommand
	if command == nil {
		command = ownStubCommand
	}
	if err := f.startStubProcesses(command); err != nil {
		f.close()
		return nil, err
	}
	for member := range f.realStates {
		f.tasks.Go(func() { f.pollReal(member) })
	}
	f.tasks.Go(f.sampleUsage)
	return f, nil
}

// progressLogger returns a function that writes a line of progress, with the time since the run began.
func (o *Options) progressLogger() func(format string, args ...any) {
	began := time.Now()
	return func(format string, args ...any) {
		if o.Progress == nil {
			return
		}
		line := fmt.Sprintf(format, args...)
		_, _ = fmt.Fprintf(o.Progress, "%7.1f s  %s\n", time.Since(began).Seconds(), line)
	}
}

// prepareRealMembers writes the configuration of real members. Datagrams between two real members cross the links of
// realFleet; those between a real and a stub member cross the links of the stub.
func (f *fleet) prepareRealMembers(program string) error {
	var ips []netip.Addr
	for _, addr := range f.topology.Addrs[:f.topology.RealMembers] {
		ips = append(ips, addr.Addr())
	}
	dir := filepath.Join(f.dir, "reals")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return fmt.Errorf("create the directory of real members: %w", err)
	}
	var err error
	if f.realFleet, err = procs.NewAt(program, dir, ips, 0, f.topology.Seed); err != nil {
		return fmt.Errorf("real members: %w", err)
	}
	f.realFleet.ModifyConfig = func(_ int, config map[string]any) {
		config["settings"].(map[string]any)["balancers"] = f.topology.Members
	}
	f.realFleet.ZoneOf = func(member int) (region, zone string) {
		site := f.topology.Site(f.topology.Zone(member))
		return site.Region, site.Zone
	}
	f.realFleet.Seeds = f.realSeeds
	f.delayRealLinks()
	for member, proc := range f.realFleet.Procs {
		proc.OnLogLine(func(line string) { f.handleLogLine(member, line) })
	}
	return nil
}

// delayRealLinks sets the delays of the topology on the links between real members.
func (f *fleet) delayRealLinks() {
	links := f.topology.Links(0)
	for from := range f.topology.RealMembers {
		for to := range f.topology.RealMembers {
			between := links.Between(f.topology.Rack(from), f.topology.Rack(to))
			f.realFleet.Proxy.UpdateLinks([]int{from}, []int{to}, func(l *link.Link) { *l = *between })
		}
	}
}

// realSeeds returns the addresses of the seeds of a real member. A real seed is addressed through the link to it.
func (f *fleet) realSeeds(member int) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, seed := range f.topology.Seeds(member) {
		if f.topology.Real(seed) {
			addrs = append(addrs, f.realFleet.Proxy.LinkAddr(member, seed))
		} else {
			addrs = append(addrs, f.topology.Addrs[seed])
		}
	}
	return addrs
}

// stubProcessCount returns the number of processes for a number of stub members, each with maxLoopsPerProcess loops:
// enough for membersPerLoop members per loop, but not many more loops than cores.
func stubProcessCount(stubCount int) int {
	wanted := max(stubCount/membersPerLoop, 1)
	coreBound := max(runtime.NumCPU()*3/2, minLoops)
	loops := min(wanted, maxLoopsPerProcess*maxProcesses, coreBound)
	return (loops + maxLoopsPerProcess - 1) / maxLoopsPerProcess
}

// assignStubMembers returns the members by process and loop. They are assigned to loops in turn, so that each loop has
// members of every zone; loops without members are left out.
func (f *fleet) assignStubMembers() [][][]int {
	stubCount := f.topology.Members - f.topology.RealMembers
	processes := stubProcessCount(stubCount)
	loops := processes * maxLoopsPerProcess
	assigned := make([][][]int, processes)
	for process := range assigned {
		assigned[process] = make([][]int, maxLoopsPerProcess)
	}
	for i := range stubCount {
		loop := i % loops
		members := &assigned[loop%processes][loop/processes]
		*members = append(*members, f.topology.RealMembers+i)
	}
	for process := range assigned {
		assigned[process] = slices.DeleteFunc(assigned[process], func(members []int) bool { return len(members) == 0 })
	}
	return assigned
}

// startStubProcesses starts the processes of stub members.
func (f *fleet) startStubProcesses(command stubCommandFunc) error {
	for number, loops := range f.assignStubMembers() {
		for loop, members := range loops {
			f.monitor.addLoop(number, loop, members)
		}
		cmd, err := command()
		if err != nil {
			return err
		}
		setup := &Setup{
			Topology:        *f.topology,
			Loops:           loops,
			Secret:          procs.SealingKey(),
			ExpectedMembers: f.topology.Members,
			Fault:           f.injected,
		}
		p, err := startProcess(cmd, setup, func(sample *Sample) { f.monitor.applySample(number, sample) })
		if p != nil {
			f.stubProcesses = append(f.stubProcesses, p)
			for _, member := range slices.Concat(loops...) {
				f.processOf[member] = p
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// startMembers starts all members over startSpread. It returns once all real processes run; stub members may start
// later.
func (f *fleet) startMembers() error {
	if err := f.applyLoss(); err != nil {
		return err
	}
	for member := range f.topology.Members {
		f.monitor.markStarted(member)
		if f.topology.Real(member) {
			continue
		}
		delay := startSpread * time.Duration(member) / time.Duration(f.topology.Members)
		start := &Command{Action: ActionStart, Member: member, DelayMicros: delay.Microseconds()}
		if err := f.processOf[member].send(start); err != nil {
			return err
		}
	}
	return f.realFleet.Start()
}

// kill ends a member abruptly, without notice to the others.
func (f *fleet) kill(member int) error {
	f.monitor.markStopped(member, false)
	if f.topology.Real(member) {
		f.realFleet.Procs[member].Kill()
		return nil
	}
	return f.processOf[member].send(&Command{Action: ActionKill, Member: member})
}

// leave shuts a member down in the planned way. When leave returns, a real member has exited; a stub ends within
// leaveMicros.
func (f *fleet) leave(member int) error {
	f.monitor.markStopped(member, true)
	if !f.topology.Real(member) {
		return f.processOf[member].send(&Command{Action: ActionLeave, Member: member})
	}
	proc := f.realFleet.Procs[member]
	if code := proc.Stop(); code != 0 {
		return fmt.Errorf("%s exited with code %d: %q", f.topology.Name(member), code, proc.LogTail())
	}
	return nil
}

// restart starts a member that was stopped.
func (f *fleet) restart(member int) error {
	f.monitor.markStarted(member)
	if f.topology.Real(member) {
		return f.realFleet.Procs[member].Start()
	}
	return f.processOf[member].send(&Command{Action: ActionStart, Member: member})
}

// publish has a member publish a record.
func (f *fleet) publish(member int, name, value string) error {
	if f.topology.Real(member) {
		_, err := f.realFleet.Procs[member].Admin("RECORD " + name + " " + value)
		return err
	}
	return f.processOf[member].send(&Command{Action: ActionPublish, Member: member, Name: name, Value: value})
}

// setLinks partitions or heals the links from some zones to others, in one direction. Healed links have the loss of the
// run.
func (f *fleet) setLinks(fromZones, toZones []int, partitioned bool) error {
	command := &Command{
		Action:      ActionLink,
		From:        f.topology.RacksOf(fromZones),
		To:          f.topology.RacksOf(toZones),
		Partitioned: partitioned,
		Loss:        f.loss,
	}
	f.monitor.setPartitioned(command.From, command.To, partitioned)
	f.realFleet.Proxy.UpdateLinks(f.realMembersIn(command.From), f.realMembersIn(command.To), command.applyTo)
	for _, p := range f.stubProcesses {
		if err := p.send(command); err != nil {
			return err
		}
	}
	return nil
}

// applyLoss sets the loss of the run on all links between regions.
func (f *fleet) applyLoss() error {
	if f.loss == 0 {
		return nil
	}
	for from := range f.topology.Regions {
		for to := range f.topology.Regions {
			if from == to {
				continue
			}
			if err := f.setLinks(f.topology.ZonesOf(from), f.topology.ZonesOf(to), false); err != nil {
				return err
			}
		}
	}
	return nil
}

// realMembersIn returns the real members in some racks.
func (f *fleet) realMembersIn(racks []int) []int {
	var members []int
	for member := range f.topology.RealMembers {
		if slices.Contains(racks, f.topology.Rack(member)) {
			members = append(members, member)
		}
	}
	return members
}

// pickRunning draws a running member, real or stub, in one of the zones. ok is false if there is none.
func (f *fleet) pickRunning(realMember bool, zones []int) (member int, ok bool) {
	f.monitor.mu.Lock()
	defer f.monitor.mu.Unlock()
	var eligible []int
	for i := range f.monitor.members {
		if f.monitor.members[i].running && f.topology.Real(i) == realMember &&
			slices.Contains(zones, f.topology.Zone(i)) {
			eligible = append(eligible, i)
		}
	}
	if len(eligible) == 0 {
		return 0, false
	}
	return eligible[f.rng.IntN(len(eligible))], true
}

// close ends all processes of the fleet.
func (f *fleet) close() {
	close(f.closing)
	f.tasks.Wait()
	f.realFleet.Close()
	var stops sync.WaitGroup
	for _, p := range f.stubProcesses {
		stops.Go(func() {
			if p.stop(processStopTimeout) {
				f.log("process %d of stub members did not end in time and was killed", p.cmd.Process.Pid)
			}
		})
	}
	stops.Wait()
}
