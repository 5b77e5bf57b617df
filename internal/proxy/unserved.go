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

// unreadClass is the class in the statistics for requests whose class could not be determined.
const unreadClass = "unread"

// maxUnservedClasses limits the classes counted by name, not counting unreadClass, because every reload of the settings
// may add new ones. Further classes are counted as otherClass.
const (
	maxUnservedClasses = 64
	otherClass         = "other"
)

// unservedCounters counts the final answers that the balancer itself gave, by class and cause.
type unservedCounters struct {
	byClass map[string]*[answercause.Count]int
}

// add counts one answer. class is empty if it could not be determined.
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

// clientFaultLogInterval is the minimum interval between log messages about clients that violate the protocol, since
// there may be any number of them.
const clientFaultLogInterval = 1 * monotime.Second

// clientFaultLog is the state of the rate limit for log messages about client faults.
type clientFaultLog struct {
	loggedAt   monotime.Micros // time of the last message; 0 for none
	suppressed int             // faults not logged since then
}

// countUnserved counts a final answer that the balancer itself gave. If the cause is a fault of the client, it also
// logs it, subject to clientFaultLogInterval.
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

// unservedCount is one non-zero counter.
type unservedCount struct {
	class string
	cause answercause.Cause
	count int
}

// counts returns the non-zero counters, sorted by class and cause.
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

// addTo adds a log field for each non-zero counter.
func (u *unservedCounters) addTo(fields logrus.Fields) {
	for _, c := range u.counts() {
		fields[logging.Unserved+c.cause.String()+"_"+c.class] = c.count
	}
}

// text returns all non-zero counters on one line, as class/cause=count.
func (u *unservedCounters) text() string {
	var words []string
	for _, c := range u.counts() {
		words = append(words, fmt.Sprintf("%s/%s=%d", c.class, c.cause, c.count))
	}
	return strings.Join(words, " ")
}
