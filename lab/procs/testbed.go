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
	// logLineQueue is the number of log lines that are queued for Run before their readers block.
	logLineQueue = 4096
	// testbedStream selects the random sequence of a testbed; other users of the seed select others.
	testbedStream = 0x7374616765
	// stateChangeMessage is the log message that reports a member's change of state, as a JSON string.
	stateChangeMessage = `"a member has changed"`
)

// Testbed implements scenario.Testbed with a fleet of processes, in real time. Run makes the scheduled calls, one after
// another. State changes are read from the logs of the processes, and StateSeen is answered from their last polled
// views. All methods must be called on the goroutine of Run.
type Testbed struct {
	fleet       *Fleet
	rng         *rand.Rand
	startedAt   time.Time
	timers      timers
	timerCount  int          // number of timers ever set
	logLines    chan logLine // read by Run
	startErrors chan error   // read by Run: errors of Proc.Start
	errs        []error
	views       []atomic.Pointer[View] // last view of each process; nil if there is none or the process does not run
	quit        chan struct{}
	wg          sync.WaitGroup

	startBytes  []int64       // bytes that each process had sent when CountBytes was called
	countedFrom time.Duration // time of the call of CountBytes

	// OnStateChange is called by Run with each state change that an observer reports.
	OnStateChange func(at time.Duration, observer, of int, from, to membership.State, incarnation uint64)
}

// logLine is a log line that reports a state change, with the time at which it was read.
type logLine struct {
	at       time.Time
	observer int
	line     string
}

// timer is a scheduled call. Timers of the same time are called in the order in which they were scheduled.
type timer struct {
	at       time.Duration // since the start of the testbed
	sequence int
	callback func()
}

// timers is a heap.Interface with the next timer on top.
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

// NewTestbed returns a testbed on a fleet of running processes. Its time begins now.
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

// queueLogLine passes a log line on to Run if it reports a state change. It is called on the goroutine that reads the
// log.
func (s *Testbed) queueLogLine(observer int, line string) {
	if !strings.Contains(line, stateChangeMessage) {
		return
	}
	select {
	case s.logLines <- logLine{time.Now(), observer, line}:
	case <-s.quit:
	}
}

// pollView polls a process's view until the testbed is closed. A running process that does not answer keeps its last
// view.
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

// Close ends the testbed's goroutines. It does not change the state of the processes.
func (s *Testbed) Close() {
	close(s.quit)
	s.wg.Wait()
	for _, p := range s.fleet.Procs {
		p.OnLogLine(nil)
	}
}

// Run makes the scheduled calls up to the given time since the start of the testbed, and passes state changes to
// OnStateChange as they are reported. An error is a failure of the testbed rather than of membership: a process did not
// start, or a log line could not be parsed.
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

// handleLogLine parses a log line and passes its state change to OnStateChange.
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
		s.errs = append(s.errs, fmt.Errorf("parse log line of member n%d: %q", l.observer, l.line))
		return
	}
	at := l.at.Sub(s.startedAt)
	s.OnStateChange(at, l.observer, member, parseState(change.Before), parseState(change.State), change.Incarnation)
}

// parseState returns the state of that name; Unknown for any other word.
func parseState(word string) membership.State {
	for s := membership.Alive; s <= membership.Left; s++ {
		if s.String() == word {
			return s
		}
	}
	return membership.Unknown
}

// Members returns the number of processes. The methods from here to StateSeen implement scenario.Testbed.
func (s *Testbed) Members() int { return len(s.fleet.Procs) }

// Now returns the time since the testbed began.
func (s *Testbed) Now() time.Duration { return time.Since(s.startedAt) }

// After schedules a call, which Run makes after a delay.
func (s *Testbed) After(d time.Duration, callback func()) {
	s.timerCount++
	heap.Push(&s.timers, timer{s.Now() + d, s.timerCount, callback})
}

// Rand returns the random source of scripts.
func (s *Testbed) Rand() *rand.Rand { return s.rng }

// UpdateLinks applies a change to the links from some processes to others, in this direction only.
func (s *Testbed) UpdateLinks(from, to []int, change func(*link.Link)) {
	s.fleet.Proxy.UpdateLinks(from, to, change)
}

// Heal resets all links: they neither lose nor delay datagrams.
func (s *Testbed) Heal() { s.fleet.Proxy.Heal() }

// Partitioned returns the links that are partitioned, as pairs of sender and receiver.
func (s *Testbed) Partitioned() map[[2]int]bool { return s.fleet.Proxy.Partitioned() }

// Kill ends a process with SIGKILL.
func (s *Testbed) Kill(i int) {
	s.fleet.Procs[i].Kill()
	s.views[i].Store(nil)
}

// Stop sends SIGTERM to a process, without waiting for its end.
func (s *Testbed) Stop(i int) { s.fleet.Procs[i].Terminate() }

// Start starts a process, without waiting until it serves. Run returns its error.
func (s *Testbed) Start(i int) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		if err := s.fleet.Procs[i].Start(); err != nil {
			select {
			case <-s.quit: // the testbed was closed before the process had started
			case s.startErrors <- err:
			}
		}
	}()
}

// Pause suspends a process for d.
func (s *Testbed) Pause(i int, d time.Duration) {
	p := s.fleet.Procs[i]
	p.Pause()
	s.After(d, p.Continue)
}

// StateSeen returns a member's state in the observer's last view; Unknown if there is no view.
func (s *Testbed) StateSeen(observer, of int) membership.State {
	v := s.views[observer].Load()
	if v == nil {
		return membership.Unknown
	}
	word, _ := v.State(s.fleet.Procs[of].Name)
	return parseState(word)
}

// CountBytes starts the count of sent bytes for BytesPerS.
func (s *Testbed) CountBytes() {
	s.startBytes = s.fleet.Proxy.SentBytes()
	s.countedFrom = s.Now()
}

// BytesPerS returns how many bytes a process has sent per second since CountBytes, as the mean of all processes.
func (s *Testbed) BytesPerS() float64 {
	sum := int64(0)
	for i, sent := range s.fleet.Proxy.SentBytes() {
		sum += sent - s.startBytes[i]
	}
	return float64(sum) / float64(len(s.startBytes)) / (s.Now() - s.countedFrom).Seconds()
}
