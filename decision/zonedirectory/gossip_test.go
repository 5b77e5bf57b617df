package zonedirectory

import "testing"

// A zone that shrinks while an item is being disseminated stops sending it.
func TestGossipInShrinkingZone(t *testing.T) {
	const before, after, sentTo = 9, 3, 6 // members, members, members that the item was sent to
	d := newDirectory(before, before)
	now := start
	if _, err := d.Publish(now, "a", "v"); err != nil {
		t.Fatal(err)
	}
	for range 200 {
		now += TickInterval
		local := localOf(before)
		for _, key := range d.keys {
			if d.items[key].transmits >= sentTo {
				local = localOf(after)
				local.Revision = 2
			}
		}
		d.Tick(now, local)
	}
}
