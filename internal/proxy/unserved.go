package proxy

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/sirupsen/logrus"

	"spurspread/decision/answercause"
	"spurspread/decision/monotime"
	"spurspread/internal/logging"
)

// unreadClass stands in the statistics for the class of a request whose first line was not understood.
const unreadClass = "unread"

// maxUnservedClasses bounds the classes that are counted by name, beside unreadClass: reloaded settings may bring ever
// new ones. Further ones are counted under otherClass.
const (
	maxUnservedClasses = 64
	otherClass         = "other"
)

// unservedCounters count the final answers that the balancer itself gave, by class and cause.
type unservedCounters struct {
	byClass map[string]*[answercause.Count]int
}

// add counts one. The class is empty where the first line was not understood.
func (u *unservedCounters) add(class string, cause answercause.Cause) {
	if class == "" {
		class = unreadClass
	}
	if u.byClass == nil {
		u.byClass = map[string]*[answercause.Count]int{}
	}
	if u.byClass[class] == nil {
		if len(u.byClass) > maxUnservedClasses {
			class = otherClass
		}
		if u.byClass[class] == nil {
			u.byClass[class] = &[answercause.Count]int{}
		}
	}
	u.byClass[class][cause]++
}

// clientFaultLogInterval is the least time between two log lines about clients that don't keep to the protocol: there
// may be any number of them.
const clientFaultLogInterval = 1 * monotime.Second

// clientFaultLog is what is needed to log few of many clients' faults.
type clientFaultLog struct {
	loggedAt   monotime.Micros // 0: never
	suppressed int             // faults since then
}

// countUnserved counts a final answer that the balancer itself gave, and logs the cause where it is the client's fault.
func (p *Proxy) countUnserved(class string, cause answercause.Cause) {
	p.stats.unserved.add(class, cause)
	if !cause.ClientFault() {
		return
	}
	now, faults := p.loop.Now(), &p.clientFaults
	if faults.loggedAt > 0 && now-faults.loggedAt < clientFaultLogInterval {
		faults.suppressed++
		return
	}
	p.log.WithFields(logrus.Fields{
		logging.Cause:      cause.String(),
		logging.Suppressed: faults.suppressed,
	}).Warn("client rejected")
	*faults = clientFaultLog{loggedAt: now}
}

// unservedCount is one counter that is not 0.
type unservedCount struct {
	class string
	cause answercause.Cause
	count int
}

// counts returns what was counted, in the order of classes and causes.
func (u *unservedCounters) counts() []unservedCount {
	var all []unservedCount
	for class, counters := range u.byClass {
		for cause, n := range counters {
			if n > 0 {
				all = append(all, unservedCount{class, answercause.Cause(cause), n})
			}
		}
	}
	slices.SortFunc(all, func(a, b unservedCount) int {
		return cmp.Or(strings.Compare(a.class, b.class), cmp.Compare(a.cause, b.cause))
	})
	return all
}

// addTo adds a field for each counter that is not 0.
func (u *unservedCounters) addTo(fields logrus.Fields) {
	for _, c := range u.counts() {
		fields[logging.Unserved+c.cause.String()+"_"+c.class] = c.count
	}
}

// text is all counters that are not 0, on one line.
func (u *unservedCounters) text() string {
	var words []string
	for _, c := range u.counts() {
		words = append(words, fmt.Sprintf("%s/%s=%d", c.class, c.cause, c.count))
	}
	return strings.Join(words, " ")
}
