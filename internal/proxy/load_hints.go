package proxy

import (
	"spurspread/decision/monotime"
	"spurspread/internal/logging"
)

// limitedHintsLog is the state of the rate limit for log messages about implausible load hints.
type limitedHintsLog struct {
	loggedAt monotime.Micros // time of the last message; 0 for none
	logged   int             // number of limited hints that messages have reported
}

// logLimitedHints logs how many load hints were taken for less than they claimed since the last message, if there are
// any, at most once per clientFaultLogInterval.
func (p *Proxy) logLimitedHints() {
	now, state := p.loop.Now(), &p.limitedHints
	limited := p.core.core.LimitedHints()
	if limited == state.logged || state.loggedAt > 0 && now-state.loggedAt < clientFaultLogInterval {
		return
	}
	p.log.WithField(logging.LimitedHints, limited-state.logged).Warn("load hints of clients are implausible")
	*state = limitedHintsLog{loggedAt: now, logged: limited}
}
