package simulation

import (
	"fmt"
	"time"

	"spurspread/decision/membership"
	"spurspread/lab/link"
	"spurspread/lab/scenario"
)

const (
	// Delay and jitter of the links, about those within one site.
	linkDelay  = 200 * time.Microsecond
	linkJitter = 400 * time.Microsecond
	// startSpan is the time over which the starts of the members are spread at random.
	startSpan = Second
	// maxExtraJoinSeconds bounds how much longer than scenario.JoinTime members may take to find each other.
	maxExtraJoinSeconds = 300
)

// Run runs the named script of package scenario on a cluster of members that build creates. The same seed produces the
// same events. log receives a line for each fault and each false report; it may be nil. An error means that there is no
// script of that name.
func Run(
	script string,
	members int,
	seed uint64,
	build Builder,
	log func(string, ...any),
) (*scenario.Result, error) {
	run, ok := scenario.Find(script)
	if !ok {
		return nil, fmt.Errorf("unknown scenario %q, expected one of %v", script, scenario.Names())
	}
	return RunScript(script, run, members, seed, build, log), nil
}

// RunScript is like Run for a script that package scenario does not list. name is the script's name in the result.
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

// bytesPerSecond returns how many bytes a member has sent per second since the given time, as the mean of all members.
func (c *Cluster) bytesPerSecond(from Micros) float64 {
	sum := int64(0)
	for _, bytes := range c.SentBytes {
		sum += bytes
	}
	return float64(sum) / float64(c.Members()) / (c.now - from).Seconds()
}

// join runs the cluster until all members consider each other alive. It runs for at least scenario.JoinTime, and longer
// where the rate limit of messages delays the dissemination of all members. After maxExtraJoinSeconds more it returns
// even if they do not.
func (c *Cluster) join() {
	c.Run(c.now + Micros(scenario.JoinTime.Microseconds()))
	for range maxExtraJoinSeconds {
		if c.allAlive() {
			return
		}
		c.Run(c.now + Second)
	}
}

// allAlive reports whether every member considers all others alive.
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
