package membership

import (
	"fmt"
	"net/netip"
	"testing"

	"pgregory.net/rapid"

	"spurspread/decision/monotime"
)

const start = 1000 * monotime.Second

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i)}), 7000)
}

// selfOf returns the identity of member i.
func selfOf(i int) Self {
	return Self{ID: ID(i * 1_000_003), Name: fmt.Sprint("n", i), Addr: addr(i), Instance: uint64(100 + i)}
}

// updateOf returns an update about member i, reported by member by unless that is 0.
func updateOf(i int, s State, incarnation uint64, by int) Update {
	self := selfOf(i)
	return Update{
		ID:          self.ID,
		State:       s,
		Incarnation: incarnation,
		ReportedBy:  selfOf(by).ID,
		Instance:    self.Instance,
		Name:        self.Name,
		Addr:        self.Addr,
	}
}

// messageOf returns a message from member i under its first incarnation.
func messageOf(i int, kind Kind) Message {
	self := selfOf(i)
	return Message{Kind: kind, From: self.ID, Incarnation: 1, Instance: self.Instance}
}

// fleetOf returns member 1's view of n members, all alive under incarnation 1.
func fleetOf(n int) (*Fleet, monotime.Micros) {
	f := New(Config{Self: selfOf(1), Incarnation: 1, RandomSeed: 5}, start)
	join := messageOf(2, Gossip)
	for i := 2; i <= n; i++ {
		join.Updates = append(join.Updates, updateOf(i, Alive, 1, 0))
	}
	f.Receive(start, addr(2), join)
	return f, start
}

// receiveUpdates delivers updates from member i, which considers this member alive.
func (f *Fleet) receiveUpdates(now monotime.Micros, i int, updates ...Update) ([]Outgoing, []StateChange) {
	m := messageOf(i, Gossip)
	m.ReceiverState = Alive
	m.ReceiverIncarnation = f.incarnation
	m.Updates = updates
	return f.Receive(now, addr(i), m)
}

// receiveDeadReport delivers a message from a member that considers this one dead.
func (f *Fleet) receiveDeadReport(now monotime.Micros, from Self) {
	f.Receive(now, from.Addr, Message{
		Kind:                Gossip,
		From:                from.ID,
		Incarnation:         1,
		Instance:            from.Instance,
		ReceiverState:       Dead,
		ReceiverIncarnation: f.incarnation,
	})
}

// run advances the time. All members except the silent ones answer pings.
func (f *Fleet) run(now *monotime.Micros, span monotime.Micros, silent ...int) {
	ignored := map[netip.AddrPort]bool{}
	for _, i := range silent {
		ignored[addr(i)] = true
	}
	for end := *now + span; *now < end; {
		*now += TickInterval
		out, _ := f.Tick(*now)
		for _, s := range out {
			if s.Message.Kind == Ping && !ignored[s.To] {
				_, _ = f.Receive(*now, s.To, f.ackOf(s))
			}
		}
	}
}

// ackOf returns the answer of a member whose view agrees.
func (f *Fleet) ackOf(ping Outgoing) Message {
	return Message{
		Kind:                Ack,
		Seq:                 ping.Message.Seq,
		From:                ping.Receiver,
		Incarnation:         ping.Message.ReceiverIncarnation,
		Instance:            f.peers[ping.Receiver].Instance,
		ReceiverState:       Alive,
		ReceiverIncarnation: f.incarnation,
		Digest:              f.digest,
	}
}

// model holds the last state change of each member.
type model map[ID]StateChange

// check fails if a change goes back to an older incarnation or makes a dead member alive under the same one.
func (m model) check(r *rapid.T, changes []StateChange) {
	for _, c := range changes {
		last := m[c.ID]
		older := c.Incarnation < last.Incarnation
		revived := last.To >= Dead && c.To < Dead && c.Incarnation <= last.Incarnation
		if older || revived {
			r.Fatalf("%v after %+v", c, last)
		}
		m[c.ID] = c
	}
}

func drawMessage(draw func(name string, from, to int) int) (Message, Self) {
	from := selfOf(draw("from", 1, 9))
	m := Message{
		Kind:                Kind(draw("kind", 0, int(maxKind)+1)),
		Seq:                 uint32(draw("seq", 0, 30)),
		From:                from.ID,
		Incarnation:         uint64(draw("incarnation", 0, 6)),
		Instance:            from.Instance,
		ReceiverState:       State(draw("receiver state", 0, 4)),
		ReceiverIncarnation: uint64(draw("receiver incarnation", 0, 9)),
		Target:              selfOf(draw("target", 0, 9)).ID,
		Digest:              uint64(draw("digest", 0, 2)),
		BucketSums:          make([]uint32, draw("sums", 0, 1)*SyncBuckets),
	}
	for range draw("updates", 0, 5) {
		m.Updates = append(m.Updates, updateOf(
			draw("of", 1, 9),
			State(draw("state", 0, 4)),
			uint64(draw("under", 0, 6)),
			draw("by", 0, 9),
		))
	}
	return m, from
}

// For any sequence of messages: incarnations never decrease, a dead member returns only under a newer one, and all
// state and all messages are bounded.
func TestAgainstModel(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		seed := rapid.Uint64().Draw(r, "seed")
		f := New(Config{Self: selfOf(1), Incarnation: 1, RandomSeed: seed, MaxMembers: 6}, start)
		now, own := monotime.Micros(start), uint64(1)
		states := model{}
		check := func(out []Outgoing, changes []StateChange) {
			states.check(r, changes)
			for _, s := range out {
				if len(s.Message.Updates) > MaxUpdates {
					r.Fatalf("%d updates in one message", len(s.Message.Updates))
				}
			}
			if queued := len(f.dissemination.items); f.incarnation < own || len(f.peers) > 6 ||
				queued > maxQueuedUpdates {
				r.Fatalf("incarnation %d after %d, %d members, %d updates", f.incarnation, own, len(f.peers), queued)
			}
			own = f.incarnation
		}
		draw := func(name string, from, to int) int { return rapid.IntRange(from, to).Draw(r, name) }
		for range draw("steps", 1, 120) {
			if draw("what", 0, 2) == 0 {
				now += monotime.Micros(draw("ms", 1, 500)) * monotime.Millisecond
				check(f.Tick(now))
				continue
			}
			m, from := drawMessage(draw)
			check(f.Receive(now, from.Addr, m))
		}
	})
}

// With its budgets exhausted a member sends nothing but pings and acks, and unused budget accumulates only up to the
// bursts.
func TestBudget(t *testing.T) {
	f, now := fleetOf(6)
	f.run(&now, 60*monotime.Second)
	if f.updateBudget != updateBytesBurst || f.controlBudget != controlBytesBurst {
		t.Fatalf("budgets of %v and %v bytes, want the bursts", f.updateBudget, f.controlBudget)
	}
	f.updateBudget, f.controlBudget = -10*updateBytesPerSecond, -10*controlBytesPerSecond
	suppressed := f.Suppressed
	out, _ := f.receiveUpdates(now, 2, updateOf(3, Alive, 7, 0))
	sums := messageOf(2, SyncSums)
	sums.BucketSums = make([]uint32, SyncBuckets)
	f.Receive(now, addr(2), sums)
	pinged := false
	for range 100 {
		now += TickInterval
		more, _ := f.Tick(now)
		for _, s := range append(out, more...) {
			pinged = pinged || s.Message.Kind == Ping
			if s.Message.Kind != Ping && s.Message.Kind != Ack || len(s.Message.Updates) > 0 {
				t.Fatalf("sent %+v, want only pings and acks without updates", s.Message)
			}
		}
		out = nil
	}
	if !pinged || f.Suppressed == suppressed {
		t.Fatalf("pinged %v, %d messages suppressed, want pings and at least 1 suppressed",
			pinged, f.Suppressed-suppressed)
	}
}

// Each change of the view changes its revision. A suspected member is live but not alive; a member that has left is
// neither, but is known.
func TestRevision(t *testing.T) {
	f, now := fleetOf(4)
	for _, c := range []struct {
		update             Update
		alive, live, known int
	}{
		{updateOf(3, Suspect, 1, 0), 3, 4, 4},
		{updateOf(3, Alive, 2, 0), 4, 4, 4},
		{updateOf(3, Left, 2, 0), 3, 3, 4},
		{updateOf(5, Alive, 1, 0), 4, 4, 5},
	} {
		before := f.Revision()
		if c.update.State == Suspect {
			c.update.ReportedBy = 0
		}
		f.receiveUpdates(now, 2, c.update)
		alive, live, known, dead := len(f.Alive()), f.Live(), f.Known(), f.Dead()
		if f.Revision() == before || alive != c.alive || live != c.live || known != c.known || dead != 0 {
			t.Errorf("%v: %d alive, %d live, %d known, %d dead, want %d, %d, %d, 0 and a new revision",
				c.update.State, alive, live, known, dead, c.alive, c.live, c.known)
		}
	}
}

// A member requests views from given addresses even though it joined long ago, but not from its own address.
func TestSyncWith(t *testing.T) {
	f, _ := fleetOf(4)
	out, _ := f.SyncWith([]netip.AddrPort{addr(1), addr(9)})
	if len(out) != 1 || out[0].To != addr(9) || out[0].Message.Kind != SyncSums {
		t.Fatalf("sent %+v, want one SyncSums to %v", out, addr(9))
	}
}

// A member that is pinged by an unknown one requests the view of that member, which may have been here before.
func TestSyncsWithUnknownSender(t *testing.T) {
	f, now := fleetOf(3)
	now += 2 * monotime.Second
	ping := messageOf(9, Ping)
	ping.Seq = 4
	out, _ := f.Receive(now, addr(9), ping)
	if len(out) != 2 || out[0].Message.Kind != Ack || out[1].Message.Kind != SyncSums ||
		out[1].Receiver != selfOf(9).ID {
		t.Fatalf("sent %+v, want an Ack, and SyncSums to member 9", out)
	}
}
