// Package abuse runs clients that cost a balancer more than they should: that hold memory, keep its event loop busy, or
// leave before their requests are served. Beside them sound clients measure what everybody else gets. Run executes one
// of Scenarios on plain lines or on multiplexed channels, against a real balancer process with the platform's limits.
// The package must not know a balancer's internals.
package abuse

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"sync"
	"time"

	"spurspread/lab/deployment"
	"spurspread/lab/report"
)

// Bounds of every scenario.
const (
	// MaxResidentMB is the memory limit of the balancer, in megabytes: beyond it the platform kills the process.
	MaxResidentMB = 192
	// MaxLineDelay bounds the time from a sound client's line to its reply, at the 99th percentile.
	MaxLineDelay = 50 * time.Millisecond
	// MaxAnswerDelay bounds the time from a sound client's first line to its answer: its deadline and 50 ms.
	MaxAnswerDelay = soundDeadline + 50*time.Millisecond
)

// Options are the options of a scenario.
type Options struct {
	Program  string // path of the balancer's executable
	Channels bool   // the clients use multiplexed channels
	Seed     uint64
	Span     time.Duration // duration of each of the scenario's phases
}

// Result holds the figures of a scenario.
type Result struct {
	PeakMB     float64       // greatest resident memory of the balancer, in megabytes
	PhasesMB   []int         // resident memory at the end of each phase of the holders, in megabytes
	Crashed    bool          // the balancer has ended
	Lines      int           // lines of sound clients that were answered
	LineP99    time.Duration // delay of these lines, 99th percentile
	LineMax    time.Duration
	Answers    int // requests of sound clients that were answered
	Refused    int // among these, with anything but UP
	Unanswered int // requests and lines of sound clients that were not answered in time
	AnswerMax  time.Duration
	Sent       int // requests or messages of the abusive clients
	Received   int // requests of departed clients that a server received
	SentOn     int // requests that a server received after their client had left
	RunTwice   int // requests that servers received twice
}

// Err returns an error that names the bounds that do not hold; nil if all hold.
func (r *Result) Err() error {
	var errs []error
	check := func(holds bool, format string, args ...any) {
		if !holds {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	check(!r.Crashed, "the balancer has ended")
	check(r.PeakMB < MaxResidentMB, "%.0f MB resident, want under %d", r.PeakMB, MaxResidentMB)
	check(r.LineP99 <= MaxLineDelay, "lines answered after %v (p99), want at most %v", r.LineP99, MaxLineDelay)
	check(r.AnswerMax <= MaxAnswerDelay, "an answer after %v, want at most %v", r.AnswerMax, MaxAnswerDelay)
	check(r.Unanswered == 0, "%d requests or lines of others without an answer, want 0", r.Unanswered)
	check(r.RunTwice == 0, "%d requests received twice, want 0", r.RunTwice)
	return errors.Join(errs...)
}

// Scenario is a way to misuse a balancer.
type Scenario struct {
	Name  string
	About string
	run   func(*environment) error
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	return []Scenario{
		{"holders", "850 clients hold memory: half a request, requests that wait, unread replies", holdMemory},
		{"flood", "one client sends small or unsound requests at full speed, under new names", flood},
		{"departed", "clients leave with requests unread, and come again with the same ids", depart},
	}
}

// environment is what a scenario runs on: a balancer, a server and sound clients.
type environment struct {
	Options
	random   *rand.Rand
	server   *server
	balancer *deployment.Balancer
	sound    *soundClients
	result   Result
	conns    []net.Conn // of abusive clients
}

// residentInterval is the time between two readings of the balancer's memory.
const residentInterval = 20 * time.Millisecond

const bytesPerMB = 1 << 20

// Run runs a scenario. An error means that it could not be run; Result.Err tells whether its bounds hold.
func Run(scenario Scenario, options Options) (*Result, error) {
	dir, err := os.MkdirTemp("", "abuse-")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	s := &environment{Options: options, random: rand.New(rand.NewPCG(options.Seed, 0))}
	if s.server, err = startServer(); err != nil {
		return nil, err
	}
	defer s.server.close()
	config := deployment.Config{
		Program: options.Program, Dir: dir, Seed: options.Seed, Channels: options.Channels, PlatformLimits: true,
	}
	if s.balancer, err = deployment.StartOne(config, s.server.addr()); err != nil {
		return nil, err
	}
	defer s.balancer.Kill()
	return s.execute(scenario)
}

// execute runs the scenario beside the sound clients and collects the figures.
func (s *environment) execute(scenario Scenario) (*Result, error) {
	s.sound = startSoundClients(s.balancer.Addr(), s.Channels)
	stop := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() { s.watchMemory(stop) })
	time.Sleep(s.Span)
	err := scenario.run(s)
	s.closeAll()
	close(stop)
	watch.Wait()
	if s.balancer.ResidentBytes() == 0 {
		s.result.Crashed = true
		err = nil // that of a client which could not connect any more
	}
	s.sound.stop(&s.result)
	s.result.RunTwice = s.server.runTwice()
	return &s.result, err
}

// watchMemory records the greatest resident memory until stop is closed.
func (s *environment) watchMemory(stop chan struct{}) {
	for {
		s.result.PeakMB = max(s.result.PeakMB, s.balancer.ResidentBytes()/bytesPerMB)
		select {
		case <-stop:
			return
		case <-time.After(residentInterval):
		}
	}
}

// closeAll ends the connections of abusive clients.
func (s *environment) closeAll() {
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.conns = nil
}

// percentile returns the fraction q of the delays.
func percentile(delays []time.Duration, q float64) time.Duration {
	values := make([]float64, len(delays))
	for i, delay := range delays {
		values[i] = float64(delay)
	}
	return time.Duration(report.Quantile(values, q))
}
