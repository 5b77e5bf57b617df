package scale

import (
	"time"

	"github.com/sirupsen/logrus"

	"spurspread/decision/membership"
	"spurspread/internal/logging"
	"spurspread/lab/link"
)

// discardFormatter formats log entries as empty: only the hook reads the log of a stub member.
type discardFormatter struct{}

// Format implements logrus.Formatter.
func (discardFormatter) Format(*logrus.Entry) ([]byte, error) { return nil, nil }

// changeHook reads changes of the view of a member from its log, like an operator.
type changeHook struct{ member *stubMember }

// Levels implements logrus.Hook.
func (*changeHook) Levels() []logrus.Level { return []logrus.Level{logrus.InfoLevel} }

// Fire implements logrus.Hook.
func (hook *changeHook) Fire(entry *logrus.Entry) error {
	from, _ := entry.Data[logging.PreviousState].(string)
	to, _ := entry.Data[logging.State].(string)
	name, _ := entry.Data[logging.Member].(string)
	subject, known := hook.member.group.memberByName[name]
	if known && to != "" {
		hook.member.observePeer(subject, from, to)
	}
	return nil
}

// parseState returns the state with a name, or Unknown for any other text.
func parseState(name string) membership.State {
	for state := membership.Alive; state <= membership.Left; state++ {
		if state.String() == name {
			return state
		}
	}
	return membership.Unknown
}

// isLive returns whether a member in a state counts as live.
func isLive(state membership.State) bool {
	return state == membership.Alive || state == membership.Suspect
}

// observePeer records a change of the state that this member has for another member of its zone.
func (m *stubMember) observePeer(subject int, from, to string) {
	state := parseState(to)
	before := m.peerStates[subject]
	m.peerStates[subject] = state
	if isLive(state) && !isLive(before) {
		m.ownZoneCount++
	}
	if !isLive(state) && isLive(before) {
		m.ownZoneCount--
	}
	pending := m.group.pending
	if state == membership.Suspect {
		pending.Suspicions++
	}
	if state >= membership.Dead || before >= membership.Dead {
		pending.Changes = append(pending.Changes, Change{
			Observer: m.index,
			Subject:  subject,
			From:     from,
			To:       to,
			At:       time.Now().UnixMicro(),
		})
	}
}

// applyTo sets the loss and partition of a link to those of the command. The delay is not changed.
func (c *Command) applyTo(l *link.Link) {
	l.Partitioned = c.Partitioned
	l.Loss = c.Loss
}
