// Package retry is the retry policy: it decides what may still be done with a request of which an attempt may have
// run, whether, where and until when it may be sent again, and whether its client may be told that a repeat is
// harmless. It knows the effects of classes and the places of servers, and nothing of sockets, of which server is
// best, or of any clock; times are microseconds.
//
// Invariant: no effect is brought about twice, by this balancer or by a client that it told to come again.
package retry

import "spurspread/decision/monotime"

// Effect says what repeating a request of a class may do.
type Effect uint8

// The effects: a Safe request may be repeated freely, a Keyed one only to the group of servers that discards its
// repeats, an Unsafe one only when no earlier attempt can have run.
const (
	Safe Effect = iota
	Keyed
	Unsafe
)

// Scope is the group of servers that discards the repeats of a keyed request.
type Scope uint8

// The scopes of a keyed class.
const (
	All Scope = iota
	Zone
	Cell
)

// lead is how long before the end of the window a repeat must have been written: it still has to reach its server,
// across sites, whose clock counts.
const lead = 20_000

// Policy is what a class says of repeats.
type Policy struct {
	Effect Effect
	Scope  Scope
	Window monotime.Micros // how long a keyed request's repeats are discarded, from the first attempt that may have run
}

// Place is where a server stands.
type Place struct {
	Zone uint8
	Cell uint16
}

// Past is what a request's attempts may have done. The zero Past is that of one that has not run.
type Past struct {
	ran   bool
	at    monotime.Micros
	place Place
}

// Ran notes an attempt that may have run, sent then to a server there. Only the first counts.
func (p *Past) Ran(at monotime.Micros, place Place) {
	if !p.ran {
		*p = Past{ran: true, at: at, place: place}
	}
}

// MayHaveRun tells whether any attempt may have.
func (p *Past) MayHaveRun() bool { return p.ran }

// Until is when a repeat must have been written at the latest; bound is false where time does not matter.
func (r Policy) Until(p *Past) (until monotime.Micros, bound bool) {
	return p.at + r.Window - lead, p.ran && r.Effect == Keyed
}

// Spent tells that no server may have the request any more.
func (r Policy) Spent(p *Past, now monotime.Micros) bool {
	until, bound := r.Until(p)
	return p.ran && r.Effect == Unsafe || bound && now >= until
}

// Allows tells whether a server there may have the request now.
func (r Policy) Allows(p *Past, now monotime.Micros, at Place) bool {
	switch {
	case r.Spent(p, now):
		return false
	case !p.ran || r.Effect != Keyed || r.Scope == All:
		return true
	}
	if r.Scope == Cell {
		return at.Cell == p.place.Cell
	}
	return at.Zone == p.place.Zone
}

// Harmless tells whether a client may be told to come again: unsure says that an attempt may have run, or may yet.
func (r Policy) Harmless(unsure bool) bool {
	return !unsure || r.Effect == Safe || r.Effect == Keyed && r.Scope == All
}
