package membership

import "testing"

// Updates with the fewest transmissions are sent first, each once per message and up to the limit. Updates that come
// back count as transmitted.
func TestDisseminationQueue(t *testing.T) {
	const limit = 4
	var q disseminationQueue
	for i := range 3 {
		q.enqueue(updateOf(i+1, Alive, 1, 0))
	}
	first := q.takeBatch(2*updateBytes(&Update{Name: "n1"}), MaxUpdates, limit)
	if len(first) != 2 {
		t.Fatalf("%d of three updates, want the two that fit", len(first))
	}
	if next := q.takeBatch(maxUpdateBytes, 1, limit); len(next) != 1 || next[0].ID == first[0].ID ||
		next[0].ID == first[1].ID {
		t.Fatalf("got %v after %v, want the update that was not sent yet", next, first)
	}
	q.enqueue(updateOf(1, Dead, 1, 0))
	if again := q.takeBatch(maxUpdateBytes, 1, limit); again[0].ID != selfOf(1).ID || again[0].State != Dead {
		t.Fatalf("%+v was sent first, want the newest update: member 1 is dead", again[0])
	}
	total := 0
	for {
		batch := q.takeBatch(maxUpdateBytes, MaxUpdates, limit)
		if total += len(batch); len(batch) == 0 {
			break
		}
		if q.countReceived(batch[0], limit); total > 12 {
			t.Fatal("dissemination does not end")
		}
	}
	if len(q.items) != 0 || q.freshCount != 0 {
		t.Fatalf("%d updates are left, %d of them fresh, want none", len(q.items), q.freshCount)
	}
	q.enqueue(updateOf(2, Dead, 3, 0))
	q.countReceived(updateOf(2, Dead, 2, 0), limit) // older
	for range 3 {
		q.countReceived(updateOf(2, Dead, 3, 0), limit)
	}
	once, again := q.takeBatch(maxUpdateBytes, 1, limit), q.takeBatch(maxUpdateBytes, 1, limit)
	if len(once) != 1 || len(again) != 0 {
		t.Fatalf("sent %d and %d updates after three of four transmissions, want 1 and 0", len(once), len(again))
	}
}
