package membership

import "testing"

// A member refutes what others say about it, including its death, under a newer incarnation.
func TestRefutes(t *testing.T) {
	f, now := fleetOf(4)
	f.receiveUpdates(now, 2, updateOf(1, Suspect, 1, 2))
	f.receiveUpdates(now, 3, updateOf(1, Dead, 7, 3))
	if f.Incarnation() != 8 {
		t.Fatalf("incarnation %d, want 8", f.Incarnation())
	}
	ping := messageOf(2, Ping)
	ping.Seq = 9
	ping.ReceiverState = Dead
	ping.ReceiverIncarnation = 8
	out, _ := f.Receive(now, addr(2), ping)
	if len(out) != 1 || out[0].Message.Kind != Ack || out[0].Message.Incarnation != 9 {
		t.Fatalf("sent %+v, want one ack of incarnation 9", out)
	}
}

// A later process of the same name takes over once it has answered a refutation. An earlier process is refuted, and so
// are leftover updates about a later process that has stopped, e.g. after a clock was set back.
func TestTwoProcessesOfOneName(t *testing.T) {
	f, now := fleetOf(3)
	earlier := updateOf(1, Alive, 5, 0)
	earlier.Instance = 1
	if f.receiveUpdates(now, 2, earlier); f.Superseded() || f.Incarnation() != 6 {
		t.Fatalf("superseded %v, incarnation %d, want false and 6", f.Superseded(), f.Incarnation())
	}
	later := updateOf(1, Alive, 9, 0)
	later.Instance = 1000
	for range 3 {
		if f.receiveUpdates(now, 2, later); f.Superseded() || f.Incarnation() != 10 {
			t.Fatalf("superseded %v, incarnation %d, want false and 10", f.Superseded(), f.Incarnation())
		}
	}
	later.Incarnation = 11
	f.receiveUpdates(now, 3, later)
	if out, _ := f.Tick(now + TickInterval); !f.Superseded() || len(out) > 0 {
		t.Fatalf("superseded %v, sent %v, want true and nothing", f.Superseded(), out)
	}
}
