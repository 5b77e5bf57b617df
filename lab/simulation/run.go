package simulation

import (
	"fmt"
	"time"

	"spurspread/decision/membership"
	"spurspread/lab/link"
	"spurspread/lab/scenario"
)

const (
	// The links of a play: about those of one site.
	linkDelay  = 200 * time.Microsecond
	linkJitter = 400 * time.Microsecond
	// startSpan is the time within which all members are started.
	startSpan = Second
	// maxExtraJoinSeconds bounds how much longer than usual members may take to find each other.
	maxExtraJoinSeconds = 300
)

// Run plays one of package scenario's scripts with members that build makes. The same seed brings the same events.
// It returns an error where there is no such script.
func Run(
	script string,
	members int,
	seed uint64,
	build Builder,
	log func(string, ...any),
) (*scenario.Result, error) {
	run, ok := scenario.Find(script)
	if !ok {
		return nil, fmt.Errorf("no scenario %q; there are %v", script, scenario.Names())
	}
	return RunScript(script, run, members, seed, build, log), nil
}

// RunScript is Run for a script that package scenario does not list. log may be nil.
func RunScript(
	name string,
	run scenario.Script,
	members int,
	seed uint64,
	build Builder,
	log func(string, ...any),
) *scenario.Result {
	c := NewCluster(members, seed, link.Link{Delay: linkDelay, Jitter: linkJitter}, build)
	for i := range members {
		c.schedule(c.jitter(startSpan), faultEvent, i, 0, func() { c.Start(i) })
	}
	c.join()
	clear(c.SentBytes)
	from := c.now
	trial := scenario.New(c, log)
	c.OnStateChange = func(observer, of int, change membership.StateChange) {
		trial.StateChanged(c.Now(), observer, of, change.From, change.To, change.Incarnation)
	}
	trial.WatchViews()
	last := run(trial)
	c.Run(from + Micros((last + scenario.SettleTime).Microseconds()))
	result := trial.Result(name, seed)
	result.Hash = c.Hash()
	result.BytesPerS = c.bytesPerSecond(from)
	return result
}

// bytesPerSecond is what each member has sent on average since then.
func (c *Cluster) bytesPerSecond(from Micros) float64 {
	sum := int64(0)
	for _, bytes := range c.SentBytes {
		sum += bytes
	}
	return float64(sum) / float64(c.Members()) / (c.now - from).Seconds()
}

// join runs until all members know each other: for scenario.JoinTime at least, and as long as it takes to disseminate
// all members within the budget.
func (c *Cluster) join() {
	c.Run(c.now + Micros(scenario.JoinTime.Microseconds()))
	for range maxExtraJoinSeconds {
		if c.allAlive() {
			return
		}
		c.Run(c.now + Second)
	}
}

// allAlive reports whether each member considers all others alive.
func (c *Cluster) allAlive() bool {
	for i := range c.members {
		for other := range c.members {
			if i != other && c.StateSeen(i, other) != membership.Alive {
				return false
			}
		}
	}
	return true
}
