package proxy

import (
	"bytes"
	"errors"
	"io"
	"slices"
	"spurspread/decision"
	"spurspread/decision/outcome"
	"spurspread/decision/retry"
	"spurspread/internal/eventloop"
	"spurspread/internal/lineproto"
)

type phase uint8

const (
	asked    phase = iota // the module owes it an answer
	resuming              // it says which target holds it; that has not answered
	open                  // it stands
	leaving               // its client has ended its side, the target has not
	over                  // answered, moved or ended
	passing               // offered to the successor, which has not answered: nobody reads it meanwhile
)

const (
	resumeTime = 40 * sec
	leaveTime  = 5 * sec   // for a target to end what its client has ended
	moveTime   = 900 * ms  // for a line to end where a client is to be moved
	tooSilent  = 5500 * ms // nothing back for so long: it is ended; with moveTime and a sweep still within 7 s
	maxWaiting = 64        // lines of a client that are timed at once
	fairRounds = 4         // reads from one socket before the others have their turn

	clientEvery = 2 * sec // clients send a line so often
	resumeAgain = 250 * ms
	shedHold    = 300 * ms // what a client is told that the relay itself sheds
)

// side is a session's client, or a hop's target: a connection of its own, or a channel of one that is shared. Its calls
// mean what those of loop.Conn of the same names do.
type side interface {
	Read(b []byte) (int, error)
	Write(parts ...[]byte)
	Pending() int
	CloseWrite()
	Close()
	Reset()
}

// client is the side that asks. What it is answered has a form of its own on each kind of ingress.
type client interface {
	side
	// up passes on the target's UP line, with its end.
	up(line []byte)
	// refuse gives the final answer, a line with its end, and ends.
	refuse(answer []byte)
	// move sends the client away, with a token or none, and ends.
	move(token []byte)
	// end ends politely, in both directions.
	end()
	// whole tells that only whole lines may be passed on, and that a target's MOVE is not one of them.
	whole() bool
}

// session is one request of a client's and, once it stands, its stream.
type session struct {
	r       *Relay
	ref     eventloop.Ref // also the request's id at the module
	in      client
	phase   phase
	text    []byte // the first line with its end, until the target has answered it
	first   lineproto.Open
	named   bool             // its id is among those that the relay has seen
	class   int              // in classes
	classes []string         // the names of the classes as they were when it asked
	rule    retry.Policy     // its class's, as it was then
	due     eventloop.Micros // when the client gives up
	hop     *hop
	sends   int
	known   bool // the module has heard of it
	timer   eventloop.Ref

	up, down lineproto.Scanner  // the lines to and from the target
	waiting  []eventloop.Micros // when its lines went that are unanswered; see expects and caughtUp
	lastBack eventloop.Micros
	verdict  outcome.Status // what the target's last words make of its end
	stalled  bool           // its client does not read, and so its target is not read either
	moving   bool           // moved as soon as the line under way has ended
	kept     keeper         // of lines, where only whole ones are passed on
	stream   *stream        // of a client that takes tokens

	at                              *pace // of the target that it stands at
	inUnderWay, inAwaited, inStands int32 // places in rosters
}

// take opens a session for a first line, which stands in text without its end; whole has it with its end. shed has the
// client told that it is turned away.
func (r *Relay) take(in client, text, whole []byte, shed bool) *session {
	s := &session{r: r, in: in, text: whole}
	if s.ref = r.sessions.Put(s); s.ref == 0 {
		in.refuse(lineproto.AppendBusy(nil, int64(shedHold/ms)))
		in.end()
		s.phase = over
		return s
	}
	r.underWay.add(s)
	if r.sessions.Len() > r.sized {
		r.limit()
	}
	s.ask(text, shed)
	return s
}

// Flushed tells that the client has caught up.
func (s *session) Flushed() {
	if s.hop == nil || s.phase != open && s.phase != leaving {
		return
	}
	if s.stalled {
		// What its target has answered meanwhile was left unread: how long that took is no fault of the target's.
		s.stalled, s.lastBack = false, s.r.l.Now()
		s.caughtUp(len(s.waiting))
	}
	s.hop.read()
}

// Readable reads what the client sends.
func (s *session) Readable() {
	for range fairRounds {
		if s.phase == over || s.phase == leaving || s.phase == passing ||
			s.phase == open && s.hop.out.Pending() > s.r.maxPending {
			return // in the last case it is read on once there is room
		}
		n, err := s.in.Read(s.r.scratch)
		if errors.Is(err, eventloop.ErrAgain) {
			return
		}
		if err != nil {
			s.left(errors.Is(err, io.EOF))
			return
		}
		if s.phase == open {
			s.forward(s.r.scratch[:n])
			continue
		}
		s.early()
	}
	s.r.l.After(0, s.Readable)
}

// early ends a request whose client does not wait for its answer, as every client does. Passed on, what it sends
// would be taken for lines of a connection that stands.
func (s *session) early() {
	known := s.known
	s.fail()
	if known {
		s.withdraw()
	}
}

func (s *session) arm(span eventloop.Micros, due func()) {
	s.r.l.Cancel(&s.timer)
	s.timer = s.r.l.After(span, due)
}

// ask takes the client's request.
func (s *session) ask(text []byte, shed bool) {
	var err error
	// The id is new for every connection; a target that sees one again answers ERR, whoever used it before.
	if s.first, err = lineproto.ParseOpen(text); err != nil || !s.r.ids.take(s.first.ID) {
		s.fail()
		return
	}
	s.named = true
	s.classes = s.r.cfg.Settings.Classes
	if s.class = place(s.classes, string(s.first.Class), -1); s.class < 0 {
		s.fail()
		return
	}
	s.rule = s.r.cfg.Settings.Logic.Classes[s.class].Rule()
	s.r.counts.taken++
	if shed || s.r.shedding() || s.r.sessions.Len() > s.r.cfg.Settings.Logic.MostHeld {
		s.shed(shedHold)
		return
	}
	if !s.present() {
		return
	}
	if len(s.first.At) > 0 {
		left := min(eventloop.Micros(s.first.Millis)*ms, resumeTime)
		s.due = s.r.l.Now() + left
		s.phase = resuming
		s.arm(left, s.fail)
		s.resume()
		return
	}
	// No client waits longer than its class allows, whatever it says.
	left := min(
		eventloop.Micros(s.first.Millis)*ms,
		eventloop.Micros(s.r.cfg.Settings.Logic.Classes[s.class].Deadline),
	)
	s.due = s.r.l.Now() + left
	s.phase, s.known = asked, true
	// The module answers before; were it ever not to, the client must still get its answer.
	s.arm(left, s.overdue)
	s.r.tell(s.request())
}

func (s *session) request() decision.Request {
	// Settings read again since it asked may number the classes otherwise; one that they dropped has the strictest
	// rules.
	class := place(s.r.cfg.Settings.Classes, s.classes[s.class], len(s.r.cfg.Settings.Classes))
	q := decision.Request{
		ID: uint32(s.ref), Left: decision.Micros(s.due - s.r.l.Now()), Class: class, Key: s.first.Key,
		Group: s.first.Group, Hint: s.first.Hint, HasHint: s.first.HasHint, Retry: s.first.Retry,
		Returned: s.first.Returned,
	}
	if s.stream != nil {
		q.Resumes, q.Pinned, q.To = true, s.stream.pinned, s.stream.to
	}
	return q
}

func (s *session) overdue() {
	s.r.log.Warn("the module left a request without an answer")
	s.expire()
}

// expire has the request answered at once. What the answer may promise is for the module to say.
func (s *session) expire() {
	if s.r.tell(decision.Expire{ID: uint32(s.ref)}); s.phase == asked {
		s.fail()
		s.withdraw()
	}
}

// giveBack answers a request at once that goes where its client says, of which the module has not heard.
func (s *session) giveBack() {
	if s.rule.Harmless(s.hop != nil && s.hop.sent) {
		s.shed(shedHold)
	} else {
		s.fail()
	}
}

// resume sends a connection to the target that holds it, as soon as that is listed.
func (s *session) resume() {
	if s.phase != resuming || s.hop != nil {
		return
	}
	if t := s.r.table.ByID(s.first.At); t != nil {
		if s.Readable(); s.phase != resuming {
			return // its client has left meanwhile, its end not read yet, or does not wait
		}
		s.sends = 1
		s.hop = s.r.dial(s, t, 0, max(s.due-s.r.l.Now(), ms), 0)
	}
}

// resumeFailed tries again where the target was never reached, else tells the client.
func (s *session) resumeFailed(status outcome.Status) {
	if status == outcome.ConnectFailed {
		s.r.l.After(resumeAgain, s.resume)
		return
	}
	s.fail()
}

// send starts the hop that the module decided on.
func (s *session) send(a decision.Send) {
	attempt := s.sends
	s.sends++
	t := s.r.table.ByNum(a.Server)
	if s.phase == asked {
		s.Readable() // a client that has left, its end not read yet, or that does not wait, is not sent on
	}
	if s.phase != asked || s.hop != nil || t == nil {
		s.r.tell(decision.Outcome{
			ID: a.ID, Attempt: attempt, Server: a.Server, Status: outcome.Inconclusive,
			Closed: s.phase != asked,
		})
		return
	}
	wait := eventloop.Micros(a.GiveUp)
	if left := s.due - s.r.l.Now(); wait == 0 || wait > left {
		wait = left
	}
	s.hop = s.r.dial(s, t, attempt, max(wait, 0), eventloop.Micros(a.Within))
}

// shed refuses the client, which may try again after the hold-off.
func (s *session) shed(holdOff eventloop.Micros) {
	if s.phase <= resuming && !s.stale() {
		s.r.counts.shed++
		s.answer(lineproto.AppendBusy(nil, int64((holdOff+ms-1)/ms)))
	}
}

// fail tells the client that its request failed.
func (s *session) fail() {
	if s.phase <= resuming && !s.stale() {
		s.r.counts.failed++
		s.answer([]byte("ERR\r\n"))
	}
}

func (s *session) answer(text []byte) {
	s.in.refuse(text)
	s.finish(outcome.Cancelled)
}

// finish ends both sides politely; status is what the module hears of a hop that is still there.
func (s *session) finish(status outcome.Status) {
	if s.phase == over {
		return
	}
	s.in.end()
	s.done(status)
}

// close ends a session whose client is gone.
func (s *session) close() {
	if s.phase == over {
		return
	}
	owed := s.known && (s.phase == asked || s.phase == open)
	s.in.Close()
	s.done(outcome.Cancelled)
	if owed {
		s.withdraw()
	}
}

// done frees the session. Its slot stays until the module has heard all that is in line for it.
func (s *session) done(status outcome.Status) {
	s.phase = over
	s.r.l.Cancel(&s.timer)
	if s.named {
		s.r.ids.leave(s.first.ID)
	}
	s.text, s.waiting, s.kept = nil, nil, keeper{}
	s.r.underWay.drop(s)
	s.r.awaited.drop(s)
	if s.at != nil {
		s.at.stands.drop(s)
		s.at = nil
	}
	if s.hop != nil {
		s.hop.end(status)
	}
	s.unclaim(nil, status)
	s.r.gone = append(s.r.gone, s)
	s.r.release()
}

func (s *session) withdraw() { s.r.tell(decision.Withdrawn{ID: uint32(s.ref)}) }

// left takes the client's end: a plain one, or a reset. Ends are passed on in kind.
func (s *session) left(plain bool) {
	if s.phase != open {
		s.close()
		return
	}
	s.phase = leaving
	s.withdraw()
	if plain {
		// The target may still have something to say.
		s.hop.out.CloseWrite()
		s.arm(leaveTime, s.close)
		return
	}
	s.hop.out.Reset()
	s.close()
}

// served passes on UP, a line without its end; from now on the connection stands.
func (s *session) served(up []byte) {
	h := s.hop
	s.r.counts.up++
	resumed := s.phase == resuming
	s.phase, s.known = open, true
	s.r.underWay.drop(s)
	s.stands()
	s.lastBack, s.verdict = s.r.l.Now(), outcome.Reset
	s.r.l.Cancel(&s.timer)
	s.text = nil
	if s.stream == nil {
		s.first.Class, s.first.At = nil, nil // which would keep the whole first line for as long as the session stands
	}
	s.in.up(append(up, "\r\n"...))
	if resumed {
		s.r.tell(decision.Open{Request: s.request(), Server: h.target.Num})
	} else {
		s.r.tell(decision.Established{
			ID: uint32(s.ref), Attempt: h.attempt, Server: h.target.Num,
			Took: decision.Micros(s.r.l.Now() - h.began),
		})
	}
	if s.r.drain.on {
		s.r.moveSoon(s)
	}
	s.join()
	s.Readable()
}

// stands notes where the session stands.
func (s *session) stands() {
	s.at = s.r.pace(s.hop.target.Num)
	s.at.stands.add(s)
}

// forward passes the client's bytes on and notes when its lines went.
func (s *session) forward(b []byte) {
	now := s.r.l.Now()
	s.up.Feed(b, func([]byte) {
		if len(s.waiting) < maxWaiting {
			s.expects(now)
		}
	})
	s.hop.out.Write(b)
}

// expects notes that a line which went at a time is to be answered.
func (s *session) expects(went eventloop.Micros) {
	s.waiting = append(s.waiting, went)
	s.r.awaited.add(s)
}

// caughtUp notes that the oldest n lines are no longer waited for.
func (s *session) caughtUp(n int) {
	if s.waiting = slices.Delete(s.waiting, 0, n); len(s.waiting) == 0 {
		s.r.awaited.drop(s)
	}
}

// back passes the target's bytes on and notes what its lines say.
func (s *session) back(b []byte) {
	if s.keeps() {
		var left bool
		if b, left = s.kept.whole(b); left {
			defer s.leave(outcome.Cancelled, false)
		}
	}
	if end := bytes.IndexByte(b, '\n'); s.moving && end >= 0 {
		b = b[:end+1] // nothing after this line: MOVE comes next
	}
	now, load := s.r.l.Now(), -1.0
	s.down.Feed(b, func(start []byte) {
		s.lastBack = now
		s.stream.passed(start)
		switch kind, value := lineproto.Server(start); kind {
		case lineproto.Bye:
			s.verdict = outcome.OK
		case lineproto.Move:
			s.verdict = outcome.Cancelled
		case lineproto.Load:
			load = value
		default:
			if len(s.waiting) > 0 {
				s.at.took(now, now-s.waiting[0])
				s.caughtUp(1)
			}
		}
	})
	s.in.Write(b)
	if load >= 0 {
		s.r.told(s, load)
	}
	if s.moving {
		s.move(outcome.Cancelled)
	}
}

// move ends the connection politely, between two lines; status is what the module hears of its hop.
func (s *session) move(status outcome.Status) {
	if s.phase != open {
		return
	}
	if s.down.Between() {
		s.r.counts.moved++
		s.in.move(s.token(nil))
		s.finish(status)
	} else if !s.moving {
		s.moving = true
		s.arm(moveTime, s.abort)
	}
}

// abort ends a connection on which not even MOVE can be said.
func (s *session) abort() {
	s.in.Reset()
	s.close()
}

// silent tells that a connection brings nothing back. The module moves clients away from slow targets long before;
// this is the protocol's limit, held for what the module leaves standing.
func (s *session) silent(now eventloop.Micros) bool {
	return s.phase == open && len(s.waiting) > 0 && now-max(s.lastBack, s.waiting[0]-clientEvery) > tooSilent
}
