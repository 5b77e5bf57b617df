package membership

import (
	"fmt"
	"testing"

	"spurspread/decision/monotime"
)

// A member that does not answer is suspected only after two others report the same, and is dead only after a suspicion
// of MinSuspicionTimeout.
func TestSuspicionNeedsSeveralReports(t *testing.T) {
	f, now := fleetOf(6)
	f.run(&now, 10*monotime.Second, 3)
	if s := f.StateOf(selfOf(3).ID); s != Alive {
		t.Fatalf("member is %v after one report, want alive", s)
	}
	f.receiveUpdates(now, 4, updateOf(3, Suspect, 1, 4))
	f.run(&now, monotime.Second, 3)
	if s := f.StateOf(selfOf(3).ID); s != Alive {
		t.Fatalf("member is %v after two reports in a fleet of six, want alive", s)
	}
	f.receiveUpdates(now, 5, updateOf(3, Suspect, 1, 5))
	f.run(&now, monotime.Second, 3)
	if s := f.StateOf(selfOf(3).ID); s != Suspect {
		t.Fatalf("member is %v after three reports, want suspect", s)
	}
	f.run(&now, MinSuspicionTimeout, 3)
	if s := f.StateOf(selfOf(3).ID); s != Dead {
		t.Fatalf("member is %v %d ms later, want dead", s, MinSuspicionTimeout/monotime.Millisecond)
	}
}

// A member whose own probes of a suspect succeed does not declare it dead, however many others report it.
func TestOnlyFailedProbesDeclareDead(t *testing.T) {
	f, now := fleetOf(6)
	f.receiveUpdates(now, 4, updateOf(3, Suspect, 1, 0), updateOf(3, Suspect, 1, 5))
	if f.run(&now, 3*MinSuspicionTimeout); f.StateOf(selfOf(3).ID) == Dead {
		t.Fatal("member that answers pings is dead")
	}
}

// suspectMember3 makes member 3, which answers no pings, suspected through three reports.
func suspectMember3(f *Fleet, now *monotime.Micros, after monotime.Micros) {
	f.run(now, 3*monotime.Second, 3)
	f.receiveUpdates(*now, 4, updateOf(3, Suspect, 1, 4))
	f.receiveUpdates(*now, 5, updateOf(3, Suspect, 1, 5))
	f.run(now, after, 3)
}

// After a pause of this member the suspicion timeout starts again, and pings that were unanswered during the pause are
// not reported.
func TestPausedMemberIsUnhealthy(t *testing.T) {
	f, now := fleetOf(6)
	suspectMember3(f, &now, monotime.Second)
	reports := f.FailureReports
	now += 10 * monotime.Second
	if _, changes := f.Tick(now); len(changes) > 0 || f.Pauses != 1 || !f.Unhealthy(now) {
		t.Fatalf("changes %v, %d pauses, unhealthy %v, want none, 1 and true", changes, f.Pauses, f.Unhealthy(now))
	}
	f.run(&now, unhealthyAfterPause-TickInterval, 3)
	if s := f.StateOf(selfOf(3).ID); f.FailureReports != reports || s != Suspect {
		t.Fatalf("%d reports after a pause, member is %v, want none and suspect", f.FailureReports-reports, s)
	}
}

// A suspicion from before this member was isolated does not make a member dead afterwards.
func TestIsolationRestartsSuspicions(t *testing.T) {
	f, now := fleetOf(6)
	suspectMember3(f, &now, monotime.Second/2)
	if s := f.StateOf(selfOf(3).ID); s != Suspect {
		t.Fatalf("member is %v, want suspect", s)
	}
	f.run(&now, 5*monotime.Second, 2, 3, 4, 5, 6)
	f.receiveUpdates(now, 2)
	now += TickInterval
	if f.Tick(now); f.StateOf(selfOf(3).ID) == Dead {
		t.Fatal("member is dead because of a suspicion from before the isolation")
	}
}

// A peer that sends messages and reports this member dead is declared dead as soon as this member fails to reach it,
// regardless of reports by others.
func TestPartitionedPeerIsDeadAtOnce(t *testing.T) {
	f, now := fleetOf(6)
	watched := f.watchTargets()[0]
	var i int
	_, _ = fmt.Sscanf(watched.Name, "n%d", &i)
	for watched.state != Dead && now-start < 10*monotime.Second {
		f.run(&now, monotime.Second/2, i)
		f.receiveDeadReport(now, watched.Self)
	}
	if watched.state != Dead || now-start >= MinSuspicionTimeout {
		t.Fatalf("peer is %v after %d ms, want dead before %d ms", watched.state, (now-start)/monotime.Millisecond,
			MinSuspicionTimeout/monotime.Millisecond)
	}
}

// declareDead makes this member declare member i dead by its own probes.
func declareDead(t *testing.T, f *Fleet, now *monotime.Micros, i int) {
	t.Helper()
	f.run(now, 3*monotime.Second, i)
	f.receiveUpdates(*now, 4, updateOf(i, Suspect, 1, 4))
	f.receiveUpdates(*now, 5, updateOf(i, Suspect, 1, 5))
	f.run(now, 2*MinSuspicionTimeout, i)
	if s := f.StateOf(selfOf(i).ID); s != Dead {
		t.Fatalf("member is %v, want dead", s)
	}
}

// A member that was declared dead by this member's own probes is restored by an ack and not by updates from others; one
// that is dead by updates is restored by updates.
func TestDeadMustAnswer(t *testing.T) {
	f, now := fleetOf(6)
	declareDead(t, f, &now, 3)
	now += monotime.Second
	out, _ := f.receiveUpdates(now, 2, updateOf(3, Alive, 2, 0))
	if s := f.StateOf(selfOf(3).ID); s != Dead || len(out) != 1 || out[0].Message.Kind != Ping ||
		out[0].Receiver != selfOf(3).ID {
		t.Fatalf("member is %v, sent %+v, want dead and one ping to it", s, out)
	}
	ack := messageOf(3, Ack)
	ack.Seq = out[0].Message.Seq
	ack.Incarnation = 2
	if f.Receive(now+monotime.Millisecond, addr(3), ack); f.StateOf(selfOf(3).ID) != Alive {
		t.Fatal("member that this one declared dead is not alive after its ack")
	}
	f.receiveUpdates(now, 2, updateOf(6, Dead, 1, 0))
	if f.receiveUpdates(now, 2, updateOf(6, Alive, 2, 0)); f.StateOf(selfOf(6).ID) != Alive {
		t.Fatal("member that is dead by an update is not alive after a newer update")
	}
}

// A member that was considered dead itself stops disseminating the deaths of others that it knows of, and pings the
// dead members.
func TestRecoversFromDeath(t *testing.T) {
	f, now := fleetOf(6)
	declareDead(t, f, &now, 3)
	f.receiveUpdates(now, 4, updateOf(6, Dead, 1, 0))
	if f.dissemination.items[selfOf(6).ID] == nil {
		t.Fatal("the death of member 6 is not disseminated")
	}
	f.receiveDeadReport(now, selfOf(2))
	if queued := f.dissemination.items[selfOf(6).ID]; queued != nil {
		t.Fatalf("the death of member 6 is still disseminated: %+v", queued)
	}
	now += TickInterval
	out, _ := f.Tick(now)
	for _, s := range out {
		if s.Receiver == selfOf(3).ID && s.Message.Kind == Ping {
			return
		}
	}
	t.Fatal("the dead member 3 is not pinged")
}

// Of two members, one whose acks all get lost while its other messages arrive is not declared dead, since no third
// member can confirm the failure. It is declared dead once it falls silent, and at once if it reports this member dead.
func TestOneOfTwoInContactIsNotDead(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(f *Fleet, now *monotime.Micros)
		span monotime.Micros
	}{
		"silent":      {func(*Fleet, *monotime.Micros) {}, 2 * PairSuspicionTimeout},
		"partitioned": {func(f *Fleet, now *monotime.Micros) { f.receiveDeadReport(*now, selfOf(2)) }, contactTimeout},
	} {
		f, now := fleetOf(2)
		for range 20 {
			f.run(&now, contactTimeout*3/4, 2)
			f.receiveUpdates(now, 2)
		}
		if s := f.StateOf(selfOf(2).ID); s == Dead {
			t.Fatalf("%s: member that sends messages is dead", name)
		}
		c.end(f, &now)
		f.run(&now, c.span, 2)
		if s := f.StateOf(selfOf(2).ID); s != Dead {
			t.Errorf("%s: member is %v in the end, want dead", name, s)
		}
	}
}
