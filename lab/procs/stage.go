package procs

import (
	"container/heap"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"spurspread/decision/membership"
	"spurspread/lab/link"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// lookEvery is how often each process is asked for its view.
const lookEvery = 100 * time.Millisecond

// Stage is a fleet of processes as a trial's stage: what falls due is done in real time, one thing after another,
// and what processes say of one another is taken from their logs and from the views that they tell.
type Stage struct {
	f        *Fleet
	rng      *rand.Rand
	began    time.Time
	due      deadlines
	made     int // deadlines so far
	logLines chan logLine
	// failed takes what kept a process from starting.
	failed chan error
	views  []atomic.Pointer[View]
	quit   chan struct{}
	wg     sync.WaitGroup
	errs   []error
	bytes  []int64 // that each had sent when counting began
	counts time.Duration

	// Changed is told what processes say of one another.
	Changed func(at time.Duration, observer, of int, from, to membership.State, inc uint64)
}

// logLine is a line of a log that tells of a change.
type logLine struct {
	at       time.Time
	observer int
	line     string
}

type deadline struct {
	at  time.Duration
	seq int
	do  func()
}

type deadlines []deadline

func (d deadlines) Len() int { return len(d) }
func (d deadlines) Less(i, j int) bool {
	return d[i].at < d[j].at || d[i].at == d[j].at && d[i].seq < d[j].seq
}
func (d deadlines) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *deadlines) Push(x any)   { *d = append(*d, x.(deadline)) }
func (d *deadlines) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// NewStage makes a stage of processes that run.
func NewStage(f *Fleet, seed uint64) *Stage {
	s := &Stage{
		f: f, rng: rand.New(rand.NewPCG(seed, 0x7374616765)), began: time.Now(), logLines: make(chan logLine, 4096),
		failed: make(chan error),
		views:  make([]atomic.Pointer[View], len(f.Procs)), quit: make(chan struct{}),
		Changed: func(time.Duration, int, int, membership.State, membership.State, uint64) {},
	}
	for i, p := range f.Procs {
		p.OnLogLine(func(line string) {
			if strings.Contains(line, `"a member has changed"`) {
				select {
				case s.logLines <- logLine{time.Now(), i, line}:
				case <-s.quit:
				}
			}
		})
		s.wg.Add(1)
		go s.look(i, p)
	}
	return s
}

// look asks a process for its view again and again.
func (s *Stage) look(i int, p *Proc) {
	defer s.wg.Done()
	for {
		if p.Runs() {
			if v, err := p.View(); err == nil {
				s.views[i].Store(v)
			}
		} else {
			s.views[i].Store(nil)
		}
		select {
		case <-s.quit:
			return
		case <-time.After(lookEvery):
		}
	}
}

// Close ends the stage, and leaves the processes as they are.
func (s *Stage) Close() {
	close(s.quit)
	s.wg.Wait()
	for _, p := range s.f.Procs {
		p.OnLogLine(nil)
	}
}

// Run does what falls due until then. An error says that the stage failed, and not a member.
func (s *Stage) Run(until time.Duration) error {
	for {
		next := until
		if len(s.due) > 0 {
			next = min(next, s.due[0].at)
		}
		select {
		case one := <-s.logLines:
			s.handleLogLine(one)
			continue
		case err := <-s.failed:
			s.errs = append(s.errs, err)
			continue
		case <-time.After(next - s.Now()):
		}
		if next == until && (len(s.due) == 0 || s.due[0].at > until) {
			return errors.Join(s.errs...)
		}
		heap.Pop(&s.due).(deadline).do()
	}
}

// handleLogLine takes a line of a log.
func (s *Stage) handleLogLine(one logLine) {
	var l struct {
		Member      string `json:"member"`
		State       string `json:"state"`
		Before      string `json:"before"`
		Incarnation uint64 `json:"incarnation"`
	}
	of, err := -1, json.Unmarshal([]byte(one.line), &l)
	if err == nil {
		of, err = strconv.Atoi(strings.TrimPrefix(l.Member, "n"))
	}
	if err != nil || of < 0 || of >= len(s.f.Procs) {
		s.errs = append(s.errs, fmt.Errorf("n%d wrote %q", one.observer, one.line))
		return
	}
	s.Changed(one.at.Sub(s.began), one.observer, of, state(l.Before), state(l.State), l.Incarnation)
}

// state reads a state's name; any other word is Unknown.
func state(word string) membership.State {
	for s := membership.Alive; s <= membership.Left; s++ {
		if s.String() == word {
			return s
		}
	}
	return membership.Unknown
}

// Members is how many there are. It and what follows are a trial's stage.
func (s *Stage) Members() int { return len(s.f.Procs) }

// Now is the time since the stage began.
func (s *Stage) Now() time.Duration { return time.Since(s.began) }

// After has something done, by Run.
func (s *Stage) After(d time.Duration, do func()) {
	s.made++
	heap.Push(&s.due, deadline{s.Now() + d, s.made, do})
}

// Rand draws for scripts of faults.
func (s *Stage) Rand() *rand.Rand { return s.rng }

// Set changes the links from some processes to others, one way.
func (s *Stage) Set(from, to []int, change func(*link.Link)) { s.f.Net.Set(from, to, change) }

// Heal makes all links whole.
func (s *Stage) Heal() { s.f.Net.Heal() }

// Cuts lists the links that are cut.
func (s *Stage) Cuts() map[[2]int]bool { return s.f.Net.Cuts() }

// Kill ends a process without a word.
func (s *Stage) Kill(i int) {
	s.f.Procs[i].Kill()
	s.views[i].Store(nil)
}

// Stop has a process end in the planned way, and does not wait for that.
func (s *Stage) Stop(i int) { s.f.Procs[i].Terminate() }

// Start starts a process, and does not wait until it serves.
func (s *Stage) Start(i int) {
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		if err := s.f.Procs[i].Start(); err != nil {
			select {
			case <-s.quit: // ended before it had started
			case s.failed <- err:
			}
		}
	}()
}

// Pause stops a process for a while.
func (s *Stage) Pause(i int, d time.Duration) {
	p := s.f.Procs[i]
	p.Pause()
	s.After(d, p.Continue)
}

// Holds is what a process holds another to be, as it has told last.
func (s *Stage) Holds(observer, of int) membership.State {
	v := s.views[observer].Load()
	if v == nil {
		return membership.Unknown
	}
	word, _ := v.State(s.f.Procs[of].Name)
	return state(word)
}

// Count begins to count what processes send.
func (s *Stage) Count() { s.bytes, s.counts = s.f.Net.Bytes(), s.Now() }

// BytesPerS is what a process has sent a second since then, on average.
func (s *Stage) BytesPerS() float64 {
	sum := int64(0)
	for i, b := range s.f.Net.Bytes() {
		sum += b - s.bytes[i]
	}
	return float64(sum) / float64(len(s.bytes)) / (s.Now() - s.counts).Seconds()
}
