package zonedirectory

import "testing"

// A zone that shrinks while an item is being disseminated stops sending it. The item is then past the transmit limit,
// and gossip must not draw a negative number of receivers.
func TestGossipInShrinkingZone(t *testing.T) {
	const before, after, sentTo = 9, 3, 6 // members before and after, transmissions of the item
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

// An item past the transmit limit of a shrunken zone is not sent again, and does not hold back an item that is due.
func TestGossipOfNewItemInShrunkenZone(t *testing.T) {
	const before, after, sentTo = 9, 3, 6 // members before and after, transmissions of the older item
	d := newDirectory(before, before)
	for _, name := range []string{"older", "newer"} {
		if _, err := d.Publish(start, name, "v"); err != nil {
			t.Fatal(err)
		}
	}
	d.items[recordKey("older")].transmits = sentTo
	local := localOf(after)
	local.Revision = 2
	sent := map[string]int{}
	for _, out := range d.Tick(start+gossipInterval+gossipJitter, local) {
		for _, item := range out.Message.Items {
			if item.Record != nil {
				sent[item.Record.Name]++
			}
		}
	}
	if sent["older"] > 0 || sent["newer"] == 0 {
		t.Errorf("one round of gossip sent %v, want only the newer item", sent)
	}
}
