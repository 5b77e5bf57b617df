package eventloop

// Continuation is the rest of some work that is too long for one turn of the loop. At most one call is pending: work
// that several events of a turn continue would otherwise be done several times in the next turn, and so grow with each
// turn. The zero value is ready to use.
type Continuation struct{ pending bool }

// Schedule schedules a call of work as Loop.After with delay 0 does, unless one is pending.
func (c *Continuation) Schedule(l *Loop, work func()) {
	if c.pending {
		return
	}
	c.pending = true
	l.After(0, func() {
		c.pending = false
		work()
	})
}
