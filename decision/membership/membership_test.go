package membership

import (
	"fmt"
	"net/netip"
	"spurspread/decision/monotime"
	"testing"

	"pgregory.net/rapid"
)

const start = 1000 * sec

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 7000)
}

func who(i int) Self {
	return Self{ID: ID(i * 1_000_003), Name: fmt.Sprint("n", i), Addr: addr(i), Instance: uint64(100 + i)}
}

func rumor(i int, s State, inc uint64, by int) Update {
	w := who(i)
	return Update{
		ID:          w.ID,
		State:       s,
		Incarnation: inc,
		ReportedBy:  who(by).ID,
		Instance:    w.Instance,
		Name:        w.Name,
		Addr:        w.Addr,
	}
}

// fleetOf is member 1's view of n members, all alive under incarnation 1.
func fleetOf(n int) (*Fleet, monotime.Micros) {
	f := New(Config{Self: who(1), Incarnation: 1, RandomSeed: 5}, start)
	var all []Update
	for i := 2; i <= n; i++ {
		all = append(all, rumor(i, Alive, 1, 0))
	}
	f.Receive(
		start,
		addr(2),
		Message{Kind: Gossip, From: who(2).ID, Incarnation: 1, Instance: who(2).Instance, Updates: all},
	)
	return f, start
}

// gossip has member i tell something.
func (f *Fleet) isTold(now monotime.Micros, i int, rumors ...Update) ([]Outgoing, []StateChange) {
	return f.Receive(
		now,
		addr(i),
		Message{
			Kind:                Gossip,
			From:                who(i).ID,
			Incarnation:         1,
			Instance:            who(i).Instance,
			ReceiverState:       Alive,
			ReceiverIncarnation: f.incarnation,
			Updates:             rumors,
		},
	)
}

// answer has all but some answer what this member asked in a span, and returns what changed.
func (f *Fleet) answer(now *monotime.Micros, span monotime.Micros, silent ...int) (changes []StateChange) {
	dead := map[netip.AddrPort]bool{}
	for _, i := range silent {
		dead[addr(i)] = true
	}
	for end := *now + span; *now < end; {
		*now += TickInterval
		out, c := f.Tick(*now)
		changes = append(changes, c...)
		for _, s := range out {
			if s.Message.Kind == Ping && !dead[s.To] {
				_, c := f.Receive(*now, s.To, Message{
					Kind: Ack, Seq: s.Message.Seq, From: s.Receiver, Incarnation: s.Message.ReceiverIncarnation, Instance: f.peers[s.Receiver].Instance,
					ReceiverState: Alive, ReceiverIncarnation: f.incarnation, Digest: f.digest,
				})
				changes = append(changes, c...)
			}
		}
	}
	return changes
}

// One that does not answer is suspected by nobody until two others say the same, and dead only after a suspicion of
// Least.
func TestOneObserverSuspectsNobody(t *testing.T) {
	f, now := fleetOf(6)
	f.answer(&now, 10*sec, 3)
	if s := f.StateOf(who(3).ID); s != Alive {
		t.Fatalf("%v by one's own word", s)
	}
	f.isTold(now, 4, rumor(3, Suspect, 1, 4))
	f.answer(&now, sec, 3)
	if s := f.StateOf(who(3).ID); s != Alive {
		t.Fatalf("%v by two members' word of six", s)
	}
	f.isTold(now, 5, rumor(3, Suspect, 1, 5))
	f.answer(&now, sec, 3)
	if s := f.StateOf(who(3).ID); s != Suspect {
		t.Fatalf("%v after three could not reach it", s)
	}
	f.answer(&now, MinSuspicionTimeout, 3)
	if s := f.StateOf(who(3).ID); s != Dead {
		t.Fatalf("%v after %d ms more", s, MinSuspicionTimeout/ms)
	}
}

// Who reaches the suspect itself does not hold it dead, however many accuse it.
func TestOnlyWhoFailedHoldsDead(t *testing.T) {
	f, now := fleetOf(6)
	f.isTold(now, 4, rumor(3, Suspect, 1, 0), rumor(3, Suspect, 1, 5))
	if f.answer(&now, 3*MinSuspicionTimeout); f.StateOf(who(3).ID) == Dead {
		t.Fatal("dead, though it answers")
	}
}

// After a pause a suspicion has its whole time again, and nobody is accused of what went unanswered meanwhile.
func TestPausedMemberDoubtsItself(t *testing.T) {
	f, now := fleetOf(6)
	f.answer(&now, 3*sec, 3)
	f.isTold(now, 4, rumor(3, Suspect, 1, 4))
	f.isTold(now, 5, rumor(3, Suspect, 1, 5))
	f.answer(&now, sec, 3)
	accused := f.FailureReports
	now += 10 * sec
	if _, changes := f.Tick(now); len(changes) > 0 || f.Pauses != 1 || !f.Unhealthy(now) {
		t.Fatalf("%v, %d pauses", changes, f.Pauses)
	}
	f.answer(&now, unhealthyAfterPause-TickInterval, 3)
	if f.FailureReports != accused || f.StateOf(who(3).ID) != Suspect {
		t.Fatalf("%d accusations after a pause, %v", f.FailureReports-accused, f.StateOf(who(3).ID))
	}
}

// What is said of oneself is answered under a newer incarnation, also what is said of one's death.
func TestRefutes(t *testing.T) {
	f, now := fleetOf(4)
	f.isTold(now, 2, rumor(1, Suspect, 1, 2))
	f.isTold(now, 3, rumor(1, Dead, 7, 3))
	if f.Incarnation() != 8 {
		t.Fatalf("incarnation %d", f.Incarnation())
	}
	out, _ := f.Receive(
		now,
		addr(2),
		Message{
			Kind:                Ping,
			Seq:                 9,
			From:                who(2).ID,
			Incarnation:         1,
			Instance:            who(2).Instance,
			ReceiverState:       Dead,
			ReceiverIncarnation: 8,
		},
	)
	if len(out) != 1 || out[0].Message.Kind != Ack || out[0].Message.Incarnation != 9 {
		t.Fatalf("%+v", out)
	}
}

// A later process of the name is the member, once it has answered; an earlier one is answered, and what is left of
// a later one that has gone, as after a clock was set back, is contradicted only.
func TestTwoProcessesOfOneName(t *testing.T) {
	f, now := fleetOf(3)
	older := rumor(1, Alive, 5, 0)
	older.Instance = 1
	if f.isTold(now, 2, older); f.Superseded() || f.Incarnation() != 6 {
		t.Fatalf("superseded %v, incarnation %d", f.Superseded(), f.Incarnation())
	}
	later := rumor(1, Alive, 9, 0)
	later.Instance = 1000
	for range 3 {
		if f.isTold(now, 2, later); f.Superseded() || f.Incarnation() != 10 {
			t.Fatalf("superseded %v, incarnation %d", f.Superseded(), f.Incarnation())
		}
	}
	later.Incarnation = 11
	f.isTold(now, 3, later)
	if out, _ := f.Tick(now + TickInterval); !f.Superseded() || len(out) > 0 {
		t.Fatalf("superseded %v, and says %v", f.Superseded(), out)
	}
}

// The part of a budget falls at once when members come, slowly when they go, and two sides of a cut stay within Factor.
func TestShare(t *testing.T) {
	var s rateDivisor
	s.observe(start, 16, 16)
	s.observe(start+TickInterval, 40, 40)
	if s.current() != 40 {
		t.Fatalf("divided by %v after 24 have come", s.current())
	}
	now := start + TickInterval
	was := s.current()
	for range 20 * 20 {
		now += TickInterval
		s.observe(now, 20, 40)
		if d := s.current(); d > was || was-d > 0.1 {
			t.Fatalf("divided by %v, and then by %v", was, d)
		}
		was = s.current()
	}
	for range 20 * 300 {
		now += TickInterval
		s.observe(now, 3, 40)
	}
	if d := s.current(); d < 40/MaxBudgetExcess {
		t.Fatalf("divided by %v, where 40 may be there", d)
	}
}

// Whatever is told, in whatever order: incarnations never fall, who is dead comes back only under a newer one, and
// nothing that is held or sent is unbounded. The model is the last word on each, by incarnation and then by state.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := New(
			Config{Self: who(1), Incarnation: 1, RandomSeed: rapid.Uint64().Draw(r, "seed"), MaxMembers: 6},
			start,
		)
		now, own := monotime.Micros(start), uint64(1)
		type word struct {
			inc   uint64
			state State
		}
		held := map[ID]word{}
		check := func(out []Outgoing, changes []StateChange) {
			for _, c := range changes {
				if was := held[c.ID]; c.Incarnation < was.inc ||
					was.state >= Dead && c.To < Dead && c.Incarnation <= was.inc {
					r.Fatalf("%v after %+v", c, was)
				}
				held[c.ID] = word{c.Incarnation, c.To}
			}
			for _, s := range out {
				if len(s.Message.Updates) > MaxUpdates {
					r.Fatalf("%d rumors in one message", len(s.Message.Updates))
				}
			}
			if f.incarnation < own || len(f.peers) > 6 || len(f.dissemination.items) > maxQueuedUpdates {
				r.Fatalf(
					"incarnation %d after %d, %d members, %d news",
					f.incarnation,
					own,
					len(f.peers),
					len(f.dissemination.items),
				)
			}
			own = f.incarnation
		}
		draw := func(name string, from, to int) int { return rapid.IntRange(from, to).Draw(r, name) }
		for range draw("steps", 1, 120) {
			if draw("what", 0, 2) == 0 {
				now += monotime.Micros(draw("ms", 1, 500)) * ms
				check(f.Tick(now))
				continue
			}
			m := Message{
				Kind: Kind(
					draw("kind", 0, int(maxKind)+1),
				), Seq: uint32(draw("seq", 0, 30)), Incarnation: uint64(draw("inc", 0, 6)),
				ReceiverState: State(
					draw("you", 0, 4),
				), ReceiverIncarnation: uint64(draw("you inc", 0, 9)), Target: who(draw("about", 0, 9)).ID,
				Digest: uint64(draw("digest", 0, 2)), BucketSums: make([]uint32, draw("sums", 0, 1)*SyncBuckets),
			}
			from := who(draw("from", 1, 9))
			m.From, m.Instance = from.ID, from.Instance
			for range draw("rumors", 0, 5) {
				m.Updates = append(
					m.Updates,
					rumor(
						draw("of", 1, 9),
						State(draw("state", 0, 4)),
						uint64(draw("under", 0, 6)),
						draw("by", 0, 9),
					),
				)
			}
			check(f.Receive(now, from.Addr, m))
		}
	})
}

// Beyond its budget a member sends nothing but pings and answers, and it saves up no more than Reserve.
func TestBudget(t *testing.T) {
	f, now := fleetOf(6)
	f.answer(&now, 60*sec)
	if f.updateBudget != updateBytesBurst || f.controlBudget != controlBytesBurst {
		t.Fatalf("%v and %v bytes saved up", f.updateBudget, f.controlBudget)
	}
	f.updateBudget, f.controlBudget = -10*updateBytesPerSecond, -10*controlBytesPerSecond
	saved := f.Suppressed
	out, _ := f.isTold(now, 2, rumor(3, Alive, 7, 0))
	f.Receive(
		now,
		addr(2),
		Message{
			Kind:        SyncSums,
			From:        who(2).ID,
			Incarnation: 1,
			Instance:    who(2).Instance,
			BucketSums:  make([]uint32, SyncBuckets),
		},
	)
	pinged := false
	for range 100 {
		now += TickInterval
		more, _ := f.Tick(now)
		for _, s := range append(out, more...) {
			pinged = pinged || s.Message.Kind == Ping
			if s.Message.Kind != Ping && s.Message.Kind != Ack || len(s.Message.Updates) > 0 {
				t.Fatalf("sent %+v", s.Message)
			}
		}
		out = nil
	}
	if !pinged || f.Suppressed == saved {
		t.Fatalf("pinged %v, %d messages saved", pinged, f.Suppressed-saved)
	}
}

// News is sent least often first, once in a message, and as often as it takes; what comes back counts as sent.
func TestSpreading(t *testing.T) {
	var s disseminationQueue
	for i := range 3 {
		s.enqueue(rumor(i+1, Alive, 1, 0))
	}
	first := s.takeBatch(2*updateBytes(&Update{Name: "n1"}), MaxUpdates, 4)
	if len(first) != 2 {
		t.Fatalf("%d of three where two go in", len(first))
	}
	if next := s.takeBatch(maxUpdateBytes, 1, 4); len(next) != 1 || next[0].ID == first[0].ID ||
		next[0].ID == first[1].ID {
		t.Fatalf("%v after %v", next, first)
	}
	s.enqueue(rumor(1, Dead, 1, 0))
	if again := s.takeBatch(maxUpdateBytes, 1, 4); again[0].ID != who(1).ID || again[0].State != Dead {
		t.Fatalf("%+v before the newest", again[0])
	}
	total := 0
	for {
		out := s.takeBatch(maxUpdateBytes, MaxUpdates, 4)
		if total += len(out); len(out) == 0 {
			break
		}
		if s.countReceived(out[0], 4); total > 12 {
			t.Fatal("news has no end")
		}
	}
	if len(s.items) != 0 || s.freshCount != 0 {
		t.Fatalf("%d items are left, %d of them fresh", len(s.items), s.freshCount)
	}
	s.enqueue(rumor(2, Dead, 3, 0))
	s.countReceived(rumor(2, Dead, 2, 0), 4) // older
	for range 3 {
		s.countReceived(rumor(2, Dead, 3, 0), 4)
	}
	if once, again := s.takeBatch(maxUpdateBytes, 1, 4), s.takeBatch(maxUpdateBytes, 1, 4); len(once) != 1 ||
		len(again) != 0 {
		t.Fatalf("sent %d and %d times after it came back three times of four", len(once), len(again))
	}
}

// Whoever pings a member that has never heard of it is asked for its view: it may have been here before this one was.
func TestAsksWhoIsNotKnown(t *testing.T) {
	f, now := fleetOf(3)
	now += 2 * sec
	out, _ := f.Receive(
		now,
		addr(9),
		Message{Kind: Ping, Seq: 4, From: who(9).ID, Incarnation: 1, Instance: who(9).Instance},
	)
	if len(out) != 2 || out[0].Message.Kind != Ack || out[1].Message.Kind != SyncSums ||
		out[1].Receiver != who(9).ID {
		t.Fatalf("%+v", out)
	}
}

// dead has a member held dead by this one's own judgement.
func dead(t *testing.T, f *Fleet, now *monotime.Micros, i int) {
	t.Helper()
	f.answer(now, 3*sec, i)
	f.isTold(*now, 4, rumor(i, Suspect, 1, 4))
	f.isTold(*now, 5, rumor(i, Suspect, 1, 5))
	f.answer(now, 2*MinSuspicionTimeout, i)
	if s := f.StateOf(who(i).ID); s != Dead {
		t.Fatalf("%v", s)
	}
}

// Who is dead by a member's own judgement comes back by an answer, and not by what others say; who is dead by the
// word of others comes back by theirs.
func TestDeadMustAnswer(t *testing.T) {
	f, now := fleetOf(6)
	dead(t, f, &now, 3)
	now += sec
	out, _ := f.isTold(now, 2, rumor(3, Alive, 2, 0))
	if s := f.StateOf(who(3).ID); s != Dead || len(out) != 1 || out[0].Message.Kind != Ping ||
		out[0].Receiver != who(3).ID {
		t.Fatalf("%v, sent %+v", s, out)
	}
	back := Message{Kind: Ack, Seq: out[0].Message.Seq, From: who(3).ID, Incarnation: 2, Instance: who(3).Instance}
	if f.Receive(now+ms, addr(3), back); f.StateOf(who(3).ID) != Alive {
		t.Fatal("it has answered")
	}
	f.isTold(now, 2, rumor(6, Dead, 1, 0))
	if f.isTold(now, 2, rumor(6, Alive, 2, 0)); f.StateOf(who(6).ID) != Alive {
		t.Fatal("dead by the word of others, and not alive by it")
	}
}

// One that speaks, and holds this member dead, is apart as soon as this one fails to reach it, whatever others say.
func TestApart(t *testing.T) {
	f, now := fleetOf(6)
	watched := f.watchTargets()[0]
	var i int
	_, _ = fmt.Sscanf(watched.Name, "n%d", &i)
	for watched.state != Dead && now-start < 10*sec {
		f.answer(&now, sec/2, i)
		f.Receive(
			now,
			watched.Addr,
			Message{
				Kind:                Gossip,
				From:                watched.ID,
				Incarnation:         1,
				Instance:            watched.Instance,
				ReceiverState:       Dead,
				ReceiverIncarnation: f.incarnation,
			},
		)
	}
	if watched.state != Dead || now-start >= MinSuspicionTimeout {
		t.Fatalf("%v after %d ms", watched.state, (now-start)/ms)
	}
}

// What was suspected before a member was alone is no judgement of what is there after.
func TestAloneBeginsAnew(t *testing.T) {
	f, now := fleetOf(6)
	f.answer(&now, 3*sec, 3)
	f.isTold(now, 4, rumor(3, Suspect, 1, 4))
	f.isTold(now, 5, rumor(3, Suspect, 1, 5))
	f.answer(&now, sec/2, 3)
	if s := f.StateOf(who(3).ID); s != Suspect {
		t.Fatalf("%v", s)
	}
	f.answer(&now, 5*sec, 2, 3, 4, 5, 6)
	f.isTold(now, 2)
	now += TickInterval
	if f.Tick(now); f.StateOf(who(3).ID) == Dead {
		t.Fatal("dead by a suspicion from before")
	}
}

// A member that was held dead itself does not spread whom it held dead meanwhile, and asks them.
func TestReturned(t *testing.T) {
	f, now := fleetOf(6)
	dead(t, f, &now, 3)
	f.isTold(now, 4, rumor(6, Dead, 1, 0))
	if f.dissemination.items[who(6).ID] == nil {
		t.Fatal("a death is no news")
	}
	f.Receive(
		now,
		addr(2),
		Message{
			Kind:                Gossip,
			From:                who(2).ID,
			Incarnation:         1,
			Instance:            who(2).Instance,
			ReceiverState:       Dead,
			ReceiverIncarnation: f.incarnation,
		},
	)
	if it := f.dissemination.items[who(6).ID]; it != nil {
		t.Fatalf("still spread: %+v", it)
	}
	now += TickInterval
	out, _ := f.Tick(now)
	for _, s := range out {
		if s.Receiver == who(3).ID && s.Message.Kind == Ping {
			return
		}
	}
	t.Fatal("whom it holds dead is not asked")
}

// What is taken from the view goes with its revision: one that is suspected is no longer among those alive, and
// there yet; one that has left is neither, and is known.
func TestRevision(t *testing.T) {
	f, now := fleetOf(4)
	for _, c := range []struct {
		told               Update
		alive, live, known int
	}{
		{rumor(3, Suspect, 1, 0), 3, 4, 4},
		{rumor(3, Alive, 2, 0), 4, 4, 4},
		{rumor(3, Left, 2, 0), 3, 3, 4},
		{rumor(5, Alive, 1, 0), 4, 4, 5},
	} {
		was := f.Revision()
		if c.told.State == Suspect {
			c.told.ReportedBy = 0
		}
		f.isTold(now, 2, c.told)
		if f.Revision() == was || len(f.Alive()) != c.alive || f.Live() != c.live || f.Known() != c.known ||
			f.Dead() != 0 {
			t.Errorf(
				"%v: %d alive, %d live, %d known, %d dead",
				c.told.State,
				len(f.Alive()),
				f.Live(),
				f.Known(),
				f.Dead(),
			)
		}
	}
}

// Whom a member is introduced to is asked for its view, though the member has joined long ago; not one's own address.
func TestIntroduce(t *testing.T) {
	f, _ := fleetOf(4)
	out, _ := f.SyncWith([]netip.AddrPort{addr(1), addr(9)})
	if len(out) != 1 || out[0].To != addr(9) || out[0].Message.Kind != SyncSums {
		t.Fatalf("%+v", out)
	}
}

// A divisor that begins at the settings' number falls by half in half a minute, not under what is known, and rises
// at once.
func TestRateDivisor(t *testing.T) {
	var r RateDivisor
	r.Start(start, 1000)
	for now := monotime.Micros(start); now <= start+30*sec; now += TickInterval {
		r.Observe(now, 10, 10)
	}
	if v := r.Value(); v < 400 || v > 650 {
		t.Errorf("%.0f after half a minute", v)
	}
	for now := monotime.Micros(start + 30*sec); now <= start+600*sec; now += sec {
		r.Observe(now, 10, 100)
	}
	if v := r.Value(); v != 50 {
		t.Errorf("%.0f in the end", v)
	}
	if r.Observe(start+601*sec, 700, 800); r.Value() != 700 {
		t.Error("it does not rise at once")
	}
}
