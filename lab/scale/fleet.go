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

// How members are dealt to processes.
const (
	minRealMembers, maxRealMembers = 8, 24
	membersPerReal                 = 60 // a real process for so many members
	maxProcesses                   = 6  // of hollow members
	maxLoops                       = 2  // of each
	membersPerLoop                 = 30 // at least; fewer make fewer loops
	// startSpan is in what time all members are started: as after a power cut, but not in one instant.
	startSpan = 4 * time.Second
)

// The limits of a run, checked while it is played.
const (
	maxRunProcesses = 300
	maxRunMegabytes = 12 << 10
)

// fleet is the members of a run, and what is known of them.
type fleet struct {
	t     *Topology
	dir   string
	reals *procs.Fleet
	procs []*process
	whose map[int]*process // by hollow member
	watch *watch
	plant Plant
	loss  float64 // between regions
	rng   *rand.Rand
	log   func(format string, args ...any)

	stop  context.CancelCauseFunc
	quit  chan struct{}
	tasks sync.WaitGroup
	meter meter
	polls []poll
}

// realsOf is how many processes of the program a fleet of so many members has.
func realsOf(members int) int {
	return min(max(members/membersPerReal, minRealMembers), maxRealMembers)
}

// layOut places the members of a fleet.
func layOut(members, reals, regions, zones int, flat bool, seed uint64) (*Topology, error) {
	if reals > members || regions < 1 || zones < regions || members < zones {
		return nil, fmt.Errorf(
			"%d members, %d of them real, in %d zones of %d regions: each region needs a zone, each zone a member",
			members,
			reals,
			zones,
			regions,
		)
	}
	t := &Topology{Members: members, Reals: reals, Regions: regions, Zones: zones, Flat: flat, Seed: seed}
	ips, err := procs.Loopbacks(members)
	if err != nil {
		return nil, err
	}
	for _, ip := range ips {
		t.Addrs = append(t.Addrs, netip.AddrPortFrom(ip, procs.FleetPort))
	}
	return t, nil
}

// newFleet prepares the processes of a fleet, and starts those of hollow members, which do not start yet. stop is
// called with what ends the run before its time.
func newFleet(o Options, t *Topology, dir string, stop context.CancelCauseFunc) (*fleet, error) {
	f := &fleet{
		t: t, dir: dir, whose: map[int]*process{}, watch: newWatch(t), plant: Plant(o.Fault), loss: o.Loss,
		rng: rand.New(rand.NewPCG(o.Seed, 0x7363616c65)), stop: stop, quit: make(chan struct{}), log: o.log(),
	}
	if f.plant != "" && !slices.Contains(Plants, f.plant) {
		return nil, fmt.Errorf("a scale run has no fault %q to plant, only %v", f.plant, Plants)
	}
	if err := f.prepareReals(o.Program); err != nil {
		return nil, err
	}
	if err := f.startHollow(); err != nil {
		f.close()
		return nil, err
	}
	f.polls = make([]poll, t.Reals)
	for i := range f.polls {
		f.tasks.Go(func() { f.poll(i) })
	}
	f.tasks.Go(f.measure)
	return f, nil
}

// log tells what happens.
func (o *Options) log() func(format string, args ...any) {
	began := time.Now()
	return func(format string, args ...any) {
		if o.Progress != nil {
			_, _ = fmt.Fprintf(
				o.Progress,
				"%7.1f s  "+format+"\n",
				append([]any{time.Since(began).Seconds()}, args...)...)
		}
	}
}

// prepareReals writes down how processes of the program start. What goes on between two of them passes through links of
// their own; what goes on between one of them and a hollow member passes the links of that member.
func (f *fleet) prepareReals(program string) error {
	var ips []netip.Addr
	for _, at := range f.t.Addrs[:f.t.Reals] {
		ips = append(ips, at.Addr())
	}
	dir := filepath.Join(f.dir, "reals")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	var err error
	if f.reals, err = procs.NewAt(program, dir, ips, 0, f.t.Seed); err != nil {
		return err
	}
	f.reals.Change = func(_ int,
		config map[string]any,
	) {
		config["settings"].(map[string]any)["balancers"] = f.t.Members
	}
	f.reals.Place = func(i int) (region, zone string) {
		s := f.t.Site(f.t.Zone(i))
		return s.Region, s.Zone
	}
	f.reals.Seeds = f.seedsOfReal
	links := f.t.Links(0)
	for a := range f.t.Reals {
		for b := range f.t.Reals {
			f.reals.Net.Set([]int{a}, []int{b}, func(l *link.Link) { *l = *links.Between(f.t.Rack(a), f.t.Rack(b)) })
		}
	}
	for i, p := range f.reals.Procs {
		p.OnLogLine(func(line string) { f.handleLogLine(i, line) })
	}
	return nil
}

func (f *fleet) seedsOfReal(i int) (out []netip.AddrPort) {
	for _, s := range f.t.Seeds(i) {
		if s < f.t.Reals {
			out = append(out, f.reals.Net.Via(i, s))
		} else {
			out = append(out, f.t.Addrs[s])
		}
	}
	return out
}

// startHollow starts the processes of hollow members, and deals members to their loops in turn, so that each loop
// has some of each zone.
func (f *fleet) startHollow() error {
	hollow := f.t.Members - f.t.Reals
	loops := min(max(hollow/membersPerLoop, 1), maxLoops*maxProcesses, max(runtime.NumCPU()*3/2, 2))
	processes := (loops + maxLoops - 1) / maxLoops
	loops = processes * maxLoops
	dealt := make([][][]int, processes)
	for p := range dealt {
		dealt[p] = make([][]int, maxLoops)
	}
	for i := range hollow {
		l := i % loops
		into := &dealt[l%processes][l/processes]
		*into = append(*into, f.t.Reals+i)
	}
	for no, members := range dealt {
		members = slices.DeleteFunc(members, func(m []int) bool { return len(m) == 0 })
		for l, m := range members {
			f.watch.addLoop(no, l, m)
		}
		p, err := startProcess(
			&Setup{Topology: *f.t, Loops: members, Secret: procs.Secret(), Expected: f.t.Members, Plant: f.plant},
			func(s *Sample) { f.watch.take(no, s) },
		)
		if p != nil {
			f.procs = append(f.procs, p)
			for _, i := range slices.Concat(members...) {
				f.whose[i] = p
			}
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// start starts all members within startSpan, and returns when all processes run.
func (f *fleet) start() error {
	if err := f.loseSome(); err != nil {
		return err
	}
	for i := range f.t.Members {
		f.watch.started(i)
		if i < f.t.Reals {
			continue
		}
		delay := startSpan * time.Duration(i) / time.Duration(f.t.Members)
		if err := f.whose[i].send(&Command{Do: DoStart, Member: i, Delay: delay.Microseconds()}); err != nil {
			return err
		}
	}
	return f.reals.Start()
}

// kill ends a member without a word.
func (f *fleet) kill(i int) error {
	f.watch.ended(i, false)
	if i < f.t.Reals {
		f.reals.Procs[i].Kill()
		return nil
	}
	return f.whose[i].send(&Command{Do: DoKill, Member: i})
}

// leave ends a member in the planned way; a real one has ended when it returns.
func (f *fleet) leave(i int) error {
	f.watch.ended(i, true)
	if i >= f.t.Reals {
		return f.whose[i].send(&Command{Do: DoLeave, Member: i})
	}
	if code := f.reals.Procs[i].Stop(); code != 0 {
		return fmt.Errorf("%s stopped with %d: %q", f.t.Name(i), code, f.reals.Procs[i].Tail())
	}
	return nil
}

// restart starts a member that has ended.
func (f *fleet) restart(i int) error {
	f.watch.started(i)
	if i < f.t.Reals {
		return f.reals.Procs[i].Start()
	}
	return f.whose[i].send(&Command{Do: DoStart, Member: i})
}

// publish has a member publish a record.
func (f *fleet) publish(i int, name, value string) error {
	if i < f.t.Reals {
		_, err := f.reals.Procs[i].Admin("RECORD " + name + " " + value)
		return err
	}
	return f.whose[i].send(&Command{Do: DoPublish, Member: i, Name: name, Value: value})
}

// link cuts or heals the links from some zones to those of other regions, one way, between all members of both.
func (f *fleet) link(from, to []int, cut bool) error {
	c := &Command{Do: DoLink, From: f.t.RacksOf(from), To: f.t.RacksOf(to), Partitioned: cut, Loss: f.loss}
	f.watch.linked(c.From, c.To, cut)
	f.reals.Net.Set(f.realsIn(c.From), f.realsIn(c.To), c.change)
	for _, p := range f.procs {
		if err := p.send(c); err != nil {
			return err
		}
	}
	return nil
}

// loseSome has datagrams between regions lost from now on.
func (f *fleet) loseSome() error {
	if f.loss == 0 {
		return nil
	}
	for a := range f.t.Regions {
		for b := range f.t.Regions {
			if a == b {
				continue
			}
			if err := f.link(f.t.ZonesOf(a), f.t.ZonesOf(b), false); err != nil {
				return err
			}
		}
	}
	return nil
}

func (f *fleet) realsIn(racks []int) (out []int) {
	for i := range f.t.Reals {
		if slices.Contains(racks, f.t.Rack(i)) {
			out = append(out, i)
		}
	}
	return out
}

// draw is a member that runs, real or hollow, in one of some zones; -1 where there is none.
func (f *fleet) draw(real bool, zones []int) int {
	f.watch.mu.Lock()
	defer f.watch.mu.Unlock()
	var all []int
	for i := range f.watch.members {
		if f.watch.members[i].runs && i < f.t.Reals == real && slices.Contains(zones, f.t.Zone(i)) {
			all = append(all, i)
		}
	}
	if len(all) == 0 {
		return -1
	}
	return all[f.rng.IntN(len(all))]
}

// allZones are all zones.
func (f *fleet) allZones() (out []int) {
	for z := range f.t.Zones {
		out = append(out, z)
	}
	return out
}

// close ends all processes that were started, by their ids.
func (f *fleet) close() {
	close(f.quit)
	f.tasks.Wait()
	f.reals.Close()
	var wg sync.WaitGroup
	for _, p := range f.procs {
		wg.Go(func() {
			if p.end(endTime) {
				f.log("process %d of hollow members had to be ended", p.cmd.Process.Pid)
			}
		})
	}
	wg.Wait()
}
