package zonedirectory

import (
	"cmp"
	"math/bits"
	"slices"

	"spurspread/decision/monotime"
)

// Byte budgets, as average rate per second and burst: for new items within the zone (gossip), for new items to other
// zones (push), and for anti-entropy and introductions (repair). Including membership messages and received ones, a
// member stays under 28,000 bytes per second over any ten seconds.
const (
	gossipBytesPerSecond, gossipBytesBurst = 4096, 16 << 10
	pushBytesPerSecond, pushBytesBurst     = 4096, 16 << 10
	repairBytesPerSecond, repairBytesBurst = 4096, 24 << 10
)

const (
	// gossipInterval is the mean time between two rounds of gossip, gossipJitter its range of variation, and
	// gossipFanout the number of members that each round reaches.
	gossipInterval = 100 * monotime.Millisecond
	gossipJitter   = gossipInterval / 5
	gossipFanout   = 3
	// spareTransmits is the number of transmissions of an item beyond those needed to reach all members, to compensate
	// for message loss.
	spareTransmits = 3
)

// tokenBucket is a byte budget.
type tokenBucket struct {
	available, bytesPerSecond, burst float64
	refilledAt                       monotime.Micros
}

func newTokenBucket(bytesPerSecond, burst float64, now monotime.Micros) tokenBucket {
	return tokenBucket{available: burst, bytesPerSecond: bytesPerSecond, burst: burst, refilledAt: now}
}

// refill adds the bytes due since the last call, and reports whether the budget is positive.
func (b *tokenBucket) refill(now monotime.Micros) bool {
	due := b.bytesPerSecond * float64(now-b.refilledAt) / float64(monotime.Second)
	b.available = min(b.available+due, b.burst)
	b.refilledAt = now
	return b.available > 0
}

// disseminationState is the state of the dissemination of new items.
type disseminationState struct {
	gossipBudget  tokenBucket
	pushBudget    tokenBucket
	gossipPending bool // some entries have gossipPending
	pushPending   bool // some entries have pushPending
	nextGossipAt  monotime.Micros
}

func newDisseminationState(now monotime.Micros) disseminationState {
	return disseminationState{
		gossipBudget: newTokenBucket(gossipBytesPerSecond, gossipBytesBurst, now),
		pushBudget:   newTokenBucket(pushBytesPerSecond, pushBytesBurst, now),
	}
}

// transmitLimit returns the number of transmissions of a new item by each member to others of its zone: those needed to
// reach all members plus spareTransmits. A member that still misses the item gets it by anti-entropy.
func (d *Directory) transmitLimit() int { return spareTransmits + bits.Len(uint(len(d.zonePeers)+1)) }

// gossip sends new items to some members of the local zone. The items with the fewest transmissions go first.
func (d *Directory) gossip(now monotime.Micros) {
	state := &d.dissemination
	if !state.gossipPending || now < state.nextGossipAt || !state.gossipBudget.refill(now) {
		return
	}
	state.nextGossipAt = now + d.spreadAround(gossipInterval, gossipJitter)
	d.endCompletedGossip()
	pending := d.pendingEntries(func(e *entry) bool { return e.gossipPending })
	state.gossipPending = len(pending) > 0
	if !state.gossipPending {
		return
	}
	slices.SortStableFunc(pending, func(a, b *entry) int { return cmp.Compare(a.transmits, b.transmits) })
	part := pending[:countFitting(pending)]
	update := Message{Kind: Update, Items: itemsOf(part)}
	receivers := d.randomPeers(min(gossipFanout, d.transmitLimit()-part[len(part)-1].transmits))
	for _, m := range receivers {
		state.gossipBudget.available -= float64(ApproximateSize(&update))
		d.send(m.Addr, m.ID, update)
	}
	for _, e := range part {
		e.transmits += len(receivers)
		e.gossipPending = e.transmits < d.transmitLimit() && len(d.zonePeers) > gossipFanout
	}
}

// endCompletedGossip ends the gossip of items that have reached transmitLimit, and of all items if this member is alone
// in its zone. An item can exceed the limit without another transmission, since the limit decreases with the size of
// the zone.
func (d *Directory) endCompletedGossip() {
	limit := d.transmitLimit()
	for _, e := range d.items {
		e.gossipPending = e.gossipPending && e.transmits < limit && len(d.zonePeers) > 0
	}
}

// pendingEntries lists the entries that match, in order of their keys.
func (d *Directory) pendingEntries(pending func(*entry) bool) []*entry {
	var entries []*entry
	for _, key := range d.keys {
		if e := d.items[key]; pending(e) {
			entries = append(entries, e)
		}
	}
	return entries
}

// randomPeers returns up to n distinct random members of the local zone.
func (d *Directory) randomPeers(n int) []Member {
	n = min(n, len(d.zonePeers))
	for i := range n {
		j := i + d.rng.IntN(len(d.zonePeers)-i)
		d.zonePeers[i], d.zonePeers[j] = d.zonePeers[j], d.zonePeers[i]
	}
	return d.zonePeers[:n]
}

// pushItems sends new items to one contact of each other zone if this member is an active delegate. Any other member
// only clears their pushPending, since the delegates of its zone push them.
func (d *Directory) pushItems(now monotime.Micros) {
	state := &d.dissemination
	if !state.pushPending || d.isActiveDelegate() && !state.pushBudget.refill(now) {
		return
	}
	entries := d.pendingEntries(func(e *entry) bool { return e.pushPending })
	for _, e := range entries {
		e.pushPending = false
	}
	state.pushPending = false
	if !d.isActiveDelegate() {
		return
	}
	if d.lastToLeave && d.leaveAnnouncements < Delegates { // no other member is left to announce it
		d.leaveAnnouncements++
		state.pushPending = true
		for _, e := range entries {
			e.pushPending = true
		}
	}
	d.notifyReplacedIssuers(entries)
	for _, z := range d.zones {
		if z.id != d.ownZone && len(z.Contacts) > 0 && !z.link.down {
			d.pushTo(z, entries)
		}
	}
}

// pushTo sends those of the entries to a zone that the local zone is responsible for sending there.
func (d *Directory) pushTo(z *zoneState, entries []*entry) {
	entries = slices.DeleteFunc(slices.Clone(entries), func(e *entry) bool { return !d.shouldPush(e, z) })
	for len(entries) > 0 {
		n := countFitting(entries)
		to := z.Contacts[(z.link.contactIndex+d.leaveAnnouncements)%len(z.Contacts)]
		d.sendPush(to, itemsOf(entries[:n]))
		entries = entries[n:]
	}
}

func (d *Directory) sendPush(to Contact, items []Item) {
	update := Message{Kind: Update, Items: items}
	d.dissemination.pushBudget.available -= float64(ApproximateSize(&update))
	d.send(to.Addr, to.ID, update)
}

// shouldPush reports whether the local zone sends an item to another zone: its own summary, all records, and the
// summaries of zones that do not reach that zone directly, or that it does not reach.
func (d *Directory) shouldPush(e *entry, to *zoneState) bool {
	if e.Summary == nil {
		return true
	}
	id := e.Summary.Site.ID()
	if id == d.ownZone || id == to.id {
		return id == d.ownZone
	}
	summarizedZone := d.zoneByID(id)
	return summarizedZone != nil && summarizedZone.reportsUnreachable(to.id) || to.reportsUnreachable(id)
}

// notifyReplacedIssuers sends the new summary of a zone to the issuer of the summary that it has replaced. If that zone
// is partitioned internally, the replaced issuer can learn of the new summary only from other zones.
func (d *Directory) notifyReplacedIssuers(entries []*entry) {
	for _, e := range entries {
		if e.replacedIssuer == nil {
			continue
		}
		if e.Summary.Site.ID() != d.ownZone {
			d.sendPush(*e.replacedIssuer, []Item{e.Item})
		}
		e.replacedIssuer = nil
	}
}
