package scale

import (
	"fmt"
	"sync"
	"time"
)

// starvedLag is by how much a timer may be late, microseconds, before what members hold of one another for a while
// after is put down to the machine: they take back what they found out themselves after a pause of that length.
const (
	starvedLag = 300_000
	starvedFor = 10_000_000
)

// watch is what a run knows of its fleet: what was done to members and links, and what members have shown. All of
// it may be used from any goroutine.
type watch struct {
	mu          sync.Mutex
	t           *Topology
	members     []memberSeen
	partitioned map[[2]int]bool // racks, one way
	loops       map[[2]int]*loopSeen
	judged      bool
	starved     int64 // until then

	falseDead, excused int
	flaps              int
	took               map[[2]int]int // by observer and whom or which zone it took back since something was done
	suspected          int
	shares             float64 // the largest sum
	errors             []string
	lags               []float64 // milliseconds
	notes              []string
}

// memberSeen is one member: what was done to it, and what it shows.
type memberSeen struct {
	runs, leaves bool
	delegate     bool // it says so
	own, all     int
	allAt        int64
	share        float64 // of a real one
	states       map[int]string
	records      map[string]recordAt
	deadAt       map[int]int64 // whom it held dead last, since when
	sent         series
	received     series
}

type recordAt struct {
	value string
	at    int64
}

// loopSeen is a loop of hollow members.
type loopSeen struct {
	members                     []int
	periods                     int64
	shares                      float64
	realSent, realReceived      []series
	realDatagrams, allDatagrams series
}

func newWatch(t *Topology) *watch {
	return &watch{
		t:           t,
		members:     make([]memberSeen, t.Members),
		partitioned: map[[2]int]bool{},
		loops:       map[[2]int]*loopSeen{},
		took:        map[[2]int]int{},
	}
}

// addLoop makes a loop known, before it tells anything.
func (w *watch) addLoop(process, loop int, members []int) {
	w.loops[[2]int{process, loop}] = &loopSeen{
		members:      members,
		realSent:     make([]series, w.t.Reals),
		realReceived: make([]series, w.t.Reals),
	}
}

// take takes what a loop tells.
func (w *watch) take(process int, s *Sample) {
	w.mu.Lock()
	defer w.mu.Unlock()
	l := w.loops[[2]int{process, s.Loop}]
	l.periods, l.shares = s.Periods, s.Shares
	w.suspected += s.Suspected
	w.errors = append(w.errors, s.Errors...)
	for _, lag := range s.Lags {
		w.lag(s.At, lag)
	}
	for _, c := range s.Changes {
		w.change(c)
	}
	for _, m := range s.Lives {
		w.live(m, s.At)
	}
	for _, z := range s.States {
		w.zone(z, s.At)
	}
	for _, r := range s.Records {
		w.record(r, s.At)
	}
	if s.Second != nil {
		w.second(l, s.At, s.Second)
	}
	w.share()
}

func (w *watch) lag(at, lag int64) {
	if lag > starvedLag {
		w.starved = max(w.starved, at+starvedFor)
	}
	if w.judged {
		w.lags = append(w.lags, float64(lag)/1000)
	}
}

func (w *watch) second(l *loopSeen, at int64, s *Second) {
	for i, m := range l.members {
		w.members[m].sent.add(at, float64(s.Sent[i]))
		w.members[m].received.add(at, float64(s.Received[i]))
	}
	sum := int64(0)
	for r := range w.t.Reals {
		l.realSent[r].add(at, float64(s.RealSent[r]))
		l.realReceived[r].add(at, float64(s.RealReceived[r]))
		sum += s.RealDatagrams[r]
	}
	l.realDatagrams.add(at, float64(sum))
	l.allDatagrams.add(at, float64(s.Datagrams))
}

// change judges what an observer holds another member to be.
func (w *watch) change(c Change) {
	o, of := &w.members[c.Observer], &w.members[c.Of]
	if c.To == "dead" {
		if o.deadAt == nil {
			o.deadAt = map[int]int64{}
		}
		o.deadAt[c.Of] = c.At
		if of.runs && !of.leaves {
			w.accuse(c)
		}
	}
	if c.From == "dead" && c.To == "alive" {
		w.back(c.At, c.Observer, c.Of)
	}
}

func (w *watch) accuse(c Change) {
	if c.At < w.starved {
		w.excused++
		return
	}
	w.falseDead++
	w.note("%s holds %s dead, which runs", w.t.Name(c.Observer), w.t.Name(c.Of))
}

// back counts that an observer took another member back, or a zone, which is told as a number below 0.
func (w *watch) back(at int64, observer, of int) {
	if at < w.starved {
		w.excused++
		return
	}
	w.took[[2]int{observer, of}]++
	if w.judged {
		w.flaps = max(w.flaps, w.took[[2]int{observer, of}])
	}
}

// note keeps a line for the report, the first few of them.
func (w *watch) note(format string, args ...any) {
	if len(w.notes) < 12 {
		w.notes = append(w.notes, fmt.Sprintf(format, args...))
	}
}

func (w *watch) live(m MemberLive, at int64) {
	one := &w.members[m.Member]
	one.own, one.delegate = m.Own, m.Delegate
	if one.all != m.All {
		one.all, one.allAt = m.All, at
	}
}

// zone takes what a zone is held to be; one that is reachable again was taken back.
func (w *watch) zone(z ZoneState, at int64) {
	one := &w.members[z.Member]
	if one.states == nil {
		one.states = map[int]string{}
	}
	if was := one.states[z.Zone]; was != "" && was != z.State && z.State == "reachable" {
		w.back(at, z.Member, -1-z.Zone)
	}
	one.states[z.Zone] = z.State
}

func (w *watch) record(r RecordSeen, at int64) {
	one := &w.members[r.Member]
	if one.records == nil {
		one.records = map[string]recordAt{}
	}
	if one.records[r.Name].value != r.Value {
		one.records[r.Name] = recordAt{r.Value, at}
	}
}

// share keeps the largest sum of all parts of a budget that live members take.
func (w *watch) share() {
	sum := 0.0
	for _, l := range w.loops {
		sum += l.shares
	}
	for i := range w.members[:w.t.Reals] {
		if w.members[i].runs {
			sum += w.members[i].share
		}
	}
	if w.judged {
		w.shares = max(w.shares, sum)
	}
}

// started says that a member runs from now on: it has shown nothing yet.
func (w *watch) started(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := &w.members[i]
	m.runs, m.leaves, m.delegate, m.own, m.all, m.share = true, false, false, 0, 0, 0
	m.states, m.records, m.deadAt = nil, nil, nil
}

// ended says that a member runs no more, or says that it goes.
func (w *watch) ended(i int, leaves bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.members[i].runs, w.members[i].leaves = false, leaves
}

// linked says whether datagrams pass from some racks to others.
func (w *watch) linked(from, to []int, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range from {
		for _, b := range to {
			if cut {
				w.partitioned[[2]int{a, b}] = true
			} else {
				delete(w.partitioned, [2]int{a, b})
			}
		}
	}
}

// mark says that something is done now; what is measured from it begins here.
func (w *watch) mark() mark {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.took)
	m := mark{at: time.Now().UnixMicro(), periods: map[[2]int]int64{}}
	for key, l := range w.loops {
		m.periods[key] = l.periods
	}
	return m
}

// mark is a moment, by the clock and by each loop's count of protocol periods.
type mark struct {
	at      int64
	periods map[[2]int]int64
}

// since is how many periods have passed in the loop that has had the fewest.
func (w *watch) since(m mark) int64 {
	least := int64(-1)
	for key, l := range w.loops {
		if n := l.periods - m.periods[key]; least < 0 || n < least {
			least = n
		}
	}
	return least
}
