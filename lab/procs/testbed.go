package procs

import (
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"spurspread/decision/membership"
	"spurspread/lab/link"
)

const (
	// viewPollInterval is the pause between two reads of a process's view.
	viewPollInterval = 100 * time.Millisecond
	// logLineQueue is how many log lines may wait for Run.
	logLineQueue = 4096
	// testbedStream selects the stage's random sequence of a seed; other users of the seed select others.
	testbedStream = 0x7374616765
	// stateChangeMessage is in the log lines that report a member's change of state.
	stateChangeMessage = `"a member has changed"`
)

// Testbed is a fleet of processes as a scenario.Testbed. Run calls what is scheduled in real time, one call after
// another. What the processes report of one another is taken from their logs and from their views. All methods belong
// to the goroutine of Run.
type Testbed struct {
	fleet       *Fleet
	rng         *rand.Rand
	startedAt   time.Time
	timers      timers
	timerCount  int          // timers so far
	logLines    chan logLine // for Run
	startErrors chan error   // for Run: what kept a process from starting
	errs        []error
	views       []atomic.Pointer[View] // last read of each process; nil: none, or it does not run
	quit        chan struct{}
	wg          sync.WaitGroup

	startBytes  []int64       // that each process had sent when CountBytes was called
	countedFrom time.Duration // when it was called

	// OnStateChange is called by Run with each state change that an observer reports.
	OnStateChange func(at time.Duration, observer, of int, from, to membership.State, incarnation uint64)
}

// logLine is a line of an observer's log that reports a change.
type logLine struct {
	at       time.Time
	observer int
	line     string
}

// timer is a scheduled call. Timers of the same time are called in the order in which they were scheduled.
type timer struct {
	at       time.Duration // since the stage's start
	sequence int
	callback func()
}

// timers is a heap.Interface, the next timer first.
type timers []timer

func (t timers) Len() int { return len(t) }

func (t timers) Less(i, j int) bool {
	if t[i].at != t[j].at {
		return t[i].at < t[j].at
	}
	return t[i].sequence < t[j].sequence
}

func (t timers) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

func (t *timers) Push(x any) { *t = append(*t, x.(timer)) }

func (t *timers) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// NewTestbed returns a stage of processes that run. Its time begins now.
func NewTestbed(f *Fleet, seed uint64) *Testbed {
	s := &Testbed{
		fleet:         f,
		rng:           rand.New(rand.NewPCG(seed, testbedStream)),
		startedAt:     time.Now(),
		logLines:      make(chan logLine, logLineQueue),
		startErrors:   make(chan error),
		views:         make([]atomic.Pointer[View], len(f.Procs)),
		quit:          make(chan struct{}),
		OnStateChange: func(time.Duration, int, int, membership.State, membership.State, uint64) {},
	}
	for i, p := range f.Procs {
		p.OnLogLine(func(line string) { s.queueLogLine(i, line) })
		s.wg.Add(1)
		go s.pollView(i, p)
	}
	return s
}

// queueLogLine passes a line that reports a change on to Run. It is called by the goroutine that reads the log.
func (s *Testbed) queueLogLine(observer int, line string) {
	if !strings.Contains(line, stateChangeMessage) {
		return
	}
	select {
	case s.logLines <- logLine{time.Now(), observer, line}:
	case <-s.quit:
	}
}

// pollView reads a process's view until the stage is closed. One that answers no more keeps its last view while it
// runs.
func (s *Testbed) pollView(i int, p *Proc) {
	defer s.wg.Done()
	for {
		if p.Running() {
			if v, err := p.View(); err == nil {
				s.views[i].Store(v)
			}
		} else {
			s.views[i].Store(nil)
		}
		select {
		case <-s.quit:
			return
		case <-time.After(viewPollInterval):
		}
	}
}

// Close ends the stage. The processes go on as they are.
func (s *Testbed) Close() {
	close(s.quit)
	s.wg.Wait()
	for _, p := range s.fleet.Procs {
		p.OnLogLine(nil)
	}
}

// Run calls what is scheduled up to a time, which is since the stage's start. An error means that the stage failed,
// not a member: a process did not start, or a log line could not be read.
func (s *Testbed) Run(until time.Duration) error {
	for {
		next := until
		if len(s.timers) > 0 {
			next = min(next, s.timers[0].at)
		}
		select {
		case line := <-s.logLines:
			s.handleLogLine(line)
			continue
		case err := <-s.startErrors:
			s.errs = append(s.errs, err)
			continue
		case <-time.After(next - s.Now()):
		}
		if next == until && (len(s.timers) == 0 || s.timers[0].at > until) {
			return errors.Join(s.errs...)
		}
		heap.Pop(&s.timers).(timer).callback()
	}
}

// handleLogLine passes the change that a line reports to Changed.
func (s *Testbed) handleLogLine(l logLine) {
	var change struct {
		Member      string `json:"member"`
		State       string `json:"state"`
		Before      string `json:"before"`
		Incarnation uint64 `json:"incarnation"`
	}
	member := -1
	err := json.Unmarshal([]byte(l.line), &change)
	if err == nil {
		member, err = strconv.Atoi(strings.TrimPrefix(change.Member, "n"))
	}
	if err != nil || member < 0 || member >= len(s.fleet.Procs) {
		s.errs = append(s.errs, fmt.Errorf("n%d wrote %q", l.observer, l.line))
		return
	}
	at := l.at.Sub(s.startedAt)
	s.OnStateChange(at, l.observer, member, parseState(change.Before), parseState(change.State), change.Incarnation)
}

// parseState is the state of that name; any other word is Unknown.
func parseState(word string) membership.State {
	for s := membership.Alive; s <= membership.Left; s++ {
		if s.String() == word {
			return s
		}
	}
	return membership.Unknown
}

// Members implements scenario.Stage, as do the following methods up to StateSeen.
func (s *Testbed) Members() int { return len(s.fleet.Procs) }

// Now is the time since the stage began.
func (s *Testbed) Now() time.Duration { return time.Since(s.startedAt) }

// After schedules a call by Run.
func (s *Testbed) After(d time.Duration, callback func()) {
	s.timerCount++
	heap.Push(&s.timers, timer{s.Now() + d, s.timerCount, callback})
}

// Rand is the source from which scripts draw their faults.
func (s *Testbed) Rand() *rand.Rand { return s.rng }

// UpdateLinks changes the links from some processes to others, one way.
func (s *Testbed) UpdateLinks(from, to []int, change func(*link.Link)) {
	s.fleet.Proxy.UpdateLinks(from, to, change)
}

// Heal resets all links: they lose and delay nothing.
func (s *Testbed) Heal() { s.fleet.Proxy.Heal() }

// Partitioned lists the links that are partitioned, as from and to.
func (s *Testbed) Partitioned() map[[2]int]bool { return s.fleet.Proxy.Partitioned() }

// Kill ends a process with SIGKILL.
func (s *Testbed) Kill(i int) {
	s.fleet.Procs[i].Kill()
	s.views[i].Store(nil)
}

// Stop sends SIGTERM to a process, and does not wait for its end.
func (s *Testbed) Stop(i int) { s.fleet.Procs[i].Terminate() }

// Start starts a process, and does not wait until it serves. Run returns its error.
func (s *Testbed) Start(i int) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		if err := s.fleet.Procs[i].Start(); err != nil {
			select {
			case <-s.quit: // the stage ended before the process had started
			case s.startErrors <- err:
			}
		}
	}()
}

// Pause suspends a process for a while.
func (s *Testbed) Pause(i int, d time.Duration) {
	p := s.fleet.Procs[i]
	p.Pause()
	s.After(d, p.Continue)
}

// StateSeen is another member's state in a process's last view, Unknown if there is none.
func (s *Testbed) StateSeen(observer, of int) membership.State {
	v := s.views[observer].Load()
	if v == nil {
		return membership.Unknown
	}
	word, _ := v.State(s.fleet.Procs[of].Name)
	return parseState(word)
}

// CountBytes begins to count what processes send, for BytesPerS.
func (s *Testbed) CountBytes() {
	s.startBytes = s.fleet.Proxy.SentBytes()
	s.countedFrom = s.Now()
}

// BytesPerS is what a process has sent in a second since CountBytes, on average.
func (s *Testbed) BytesPerS() float64 {
	sum := int64(0)
	for i, sent := range s.fleet.Proxy.SentBytes() {
		sum += sent - s.startBytes[i]
	}
	return float64(sum) / float64(len(s.startBytes)) / (s.Now() - s.countedFrom).Seconds()
}
