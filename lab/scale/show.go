package scale

import (
	"time"

	"github.com/sirupsen/logrus"

	"spurspread/decision/membership"
	"spurspread/internal/logging"
	"spurspread/lab/link"
)

// unwritten is the format of a log that nobody reads: only its hook does.
type unwritten struct{}

// Format is part of logrus.Formatter.
func (unwritten) Format(*logrus.Entry) ([]byte, error) { return nil, nil }

// changes takes a member's changes of view from its log, as an operator would.
type changes struct{ m *hollow }

// Levels is part of logrus.Hook.
func (*changes) Levels() []logrus.Level { return []logrus.Level{logrus.InfoLevel} }

// Fire is part of logrus.Hook.
func (c *changes) Fire(e *logrus.Entry) error {
	from, _ := e.Data[logging.PreviousState].(string)
	to, _ := e.Data[logging.State].(string)
	name, _ := e.Data[logging.Member].(string)
	of, known := c.m.g.names[name]
	if known && to != "" {
		c.m.changed(of, from, to)
	}
	return nil
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

// there tells whether a member is held to be in the fleet.
func there(s membership.State) bool { return s == membership.Alive || s == membership.Suspect }

// changed notes what this member holds another of its zone to be.
func (m *hollow) changed(of int, from, to string) {
	is := state(to)
	was := m.held[of]
	m.held[of] = is
	if there(is) && !there(was) {
		m.own++
	}
	if !there(is) && there(was) {
		m.own--
	}
	if is == membership.Suspect {
		m.g.now.Suspected++
	}
	if is >= membership.Dead || was >= membership.Dead {
		m.g.now.Changes = append(m.g.now.Changes, Change{m.index, of, from, to, time.Now().UnixMicro()})
	}
}

// change has a link be as the command says, and its delay as it was.
func (c *Command) change(l *link.Link) { l.Partitioned, l.Loss = c.Partitioned, c.Loss }
