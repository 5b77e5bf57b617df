package scale

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"spurspread/decision/zonedirectory"
	"spurspread/lab/deployment"
	"spurspread/lab/loadgen"
)

const (
	// lookFast is how often a real member is asked for its view while something is awaited, lookSlow how often
	// else: an answer takes the member itself a millisecond, which counts as cost of control.
	lookFast = 100 * time.Millisecond
	lookSlow = time.Second
)

// poll is what is known of a real member from its management address and the kernel.
type poll struct {
	fast              atomic.Bool
	reportedSentBytes atomic.Int64 // bytes that it says it has sent, since it was started
	cpu               series       // seconds; by the meter
	memory            float64      // the most, megabytes
	pid               int
	starts            int           // how many processes of it there were
	cpuTotal          time.Duration // at the last look
}

// memberStatus is what a member answers to MEMBERS, as far as a run reads it.
type memberStatus struct {
	Divisor float64 `json:"divisor"`
	Live    int     `json:"live"`
	Members []struct {
		State string `json:"state"`
	} `json:"members"`
	Counts struct{ SentBytes int64 } `json:"counts"`
	Zones  []struct {
		Region    string   `json:"region"`
		Zone      string   `json:"zone"`
		State     string   `json:"state"`
		Delegates []string `json:"delegates"`
		Own       bool     `json:"own"`
	} `json:"zones"`
	Records []struct {
		Name  string `json:"name"`
		Value string `json:"value"`
	} `json:"records"`
}

// poll asks a real member for its view again and again.
func (f *fleet) poll(i int) {
	var last time.Time
	for {
		if f.polls[i].fast.Load() || time.Since(last) >= lookSlow {
			last = time.Now()
			if p := f.reals.Procs[i]; p.Runs() {
				pid := p.Pid()
				if text, err := p.Admin("MEMBERS"); err == nil && p.Pid() == pid {
					f.applyStatus(i, text)
				}
			}
		}
		select {
		case <-f.quit:
			return
		case <-time.After(lookFast):
		}
	}
}

func (f *fleet) applyStatus(i int, text string) {
	var v memberStatus
	if json.Unmarshal([]byte(text), &v) != nil {
		return // it is asked again
	}
	f.polls[i].reportedSentBytes.Store(v.Counts.SentBytes)
	own := 0
	for _, m := range v.Members {
		if there(state(m.State)) {
			own++
		}
	}
	all := v.Live
	if f.t.Flat {
		all = own
	}
	at := time.Now().UnixMicro()
	w := f.watch
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.members[i].runs {
		return // it was ended meanwhile
	}
	delegate := false
	for _, z := range v.Zones {
		delegate = delegate || z.Own && slices.Contains(z.Delegates, f.t.Name(i))
	}
	w.live(MemberLive{i, own, all, delegate}, at)
	w.members[i].share = 1 / max(v.Divisor, 1)
	w.share()
	for _, z := range v.Zones {
		for no := range f.t.Zones {
			if f.t.Site(no) == (zonedirectory.Site{Region: z.Region, Zone: z.Zone}) {
				w.zone(ZoneState{i, no, z.State}, at)
			}
		}
	}
	for _, r := range v.Records {
		w.record(RecordSeen{i, r.Name, r.Value}, at)
	}
}

// handleLogLine takes a line of a real member's log.
func (f *fleet) handleLogLine(i int, line string) {
	if !strings.Contains(line, `"a member has changed"`) {
		return
	}
	var l struct {
		Member string `json:"member"`
		State  string `json:"state"`
		Before string `json:"before"`
	}
	if json.Unmarshal([]byte(line), &l) != nil {
		return
	}
	of, err := strconv.Atoi(strings.TrimPrefix(l.Member, "n"))
	if err != nil || of < 0 || of >= f.t.Members {
		return
	}
	f.watch.mu.Lock()
	defer f.watch.mu.Unlock()
	if l.State == "suspect" {
		f.watch.suspected++
	}
	if l.State == "dead" || l.State == "left" || l.Before == "dead" || l.Before == "left" {
		f.watch.change(Change{i, of, l.Before, l.State, time.Now().UnixMicro()})
	}
}

// attend has real members asked often, or seldom.
func (f *fleet) attend(fast bool) {
	for i := range f.polls {
		f.polls[i].fast.Store(fast)
	}
}

// meter is what the kernel said of the run.
type meter struct {
	processes  int           // the most
	megabytes  float64       // the most
	cpu        series        // seconds of all of the run's processes
	last       time.Duration // at the last look
	sent, came []series      // bytes between real members, by sender and by receiver
	lastSent   []int64
	lastCame   []int64
}

// meterEvery is how often the kernel is asked.
const meterEvery = time.Second

// measure asks the kernel again and again, and ends the run where it takes more than it may.
func (f *fleet) measure() {
	f.meter.sent, f.meter.came = make([]series, f.t.Reals), make([]series, f.t.Reals)
	f.meter.lastSent, f.meter.lastCame = make([]int64, f.t.Reals), make([]int64, f.t.Reals)
	for {
		f.measureOnce()
		select {
		case <-f.quit:
			return
		case <-time.After(meterEvery):
		}
	}
}

func (f *fleet) measureOnce() {
	u, err := measure()
	if err != nil {
		f.stop(err)
		return
	}
	at := time.Now().UnixMicro()
	f.watch.mu.Lock()
	defer f.watch.mu.Unlock()
	m := &f.meter
	m.processes, m.megabytes = max(m.processes, u.processes), max(m.megabytes, u.bytes/(1<<20))
	if m.last > 0 {
		m.cpu.add(at, max(u.cpu-m.last, 0).Seconds())
	}
	m.last = u.cpu
	if err := limits(u); err != nil {
		f.stop(err)
	}
	sent, came := f.reals.Net.Bytes(), f.reals.Net.Received()
	for i := range f.t.Reals {
		m.sent[i].add(at, float64(sent[i]-m.lastSent[i]))
		m.came[i].add(at, float64(came[i]-m.lastCame[i]))
		f.measureReal(i, at)
	}
	m.lastSent, m.lastCame = sent, came
	for _, p := range f.procs {
		if p.ended() {
			p.mu.Lock()
			f.stop(errHollowEnded(p.tail))
			p.mu.Unlock()
		}
	}
}

// measureReal asks for one real member's processor time and memory.
func (f *fleet) measureReal(i int, at int64) {
	p, proc := &f.polls[i], f.reals.Procs[i]
	if !proc.Runs() {
		return
	}
	pid := proc.Pid()
	cpu := loadgen.CPUTime(pid)
	if pid != p.pid {
		p.starts++
	} else {
		p.cpu.add(at, max(cpu-p.cpuTotal, 0).Seconds())
	}
	p.pid, p.cpuTotal = pid, cpu
	if f.watch.judged {
		p.memory = max(p.memory, deployment.Resident(pid)/(1<<20))
	}
}
