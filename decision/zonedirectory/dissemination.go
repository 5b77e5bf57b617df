package zonedirectory

import (
	"cmp"
	"math/bits"
	"slices"

	"spurspread/decision/monotime"
)

// Bytes a second that a member sends on average, and how many it may save up: of new items within its zone, of new
// items to other zones, and of answers where directories differ. With what membership sends and what is received, a
// member stays under 28,000 bytes a second in any ten seconds.
const (
	gossipBytesPerSecond, gossipBytesBurst = 4096, 16 << 10
	pushBytesPerSecond, pushBytesBurst     = 4096, 16 << 10
	repairBytesPerSecond, repairBytesBurst = 4096, 24 << 10
)

const (
	// gossipInterval is the time between two rounds of gossip, gossipJitter by how much it varies, gossipFanout the
	// members that each reaches.
	gossipInterval = 100 * monotime.Millisecond
	gossipJitter   = gossipInterval / 5
	gossipFanout   = 3
	// spareTransmits is to how many members an item is sent beyond those that reach all, for messages that are lost.
	spareTransmits = 3
)

// tokenBucket is a budget of bytes.
type tokenBucket struct {
	available, bytesPerSecond, burst float64
	refilledAt                       monotime.Micros
}

func newTokenBucket(bytesPerSecond, burst float64, now monotime.Micros) tokenBucket {
	return tokenBucket{available: burst, bytesPerSecond: bytesPerSecond, burst: burst, refilledAt: now}
}

// refill adds what is due, and reports whether something may be sent.
func (b *tokenBucket) refill(now monotime.Micros) bool {
	due := b.bytesPerSecond * float64(now-b.refilledAt) / float64(monotime.Second)
	b.available = min(b.available+due, b.burst)
	b.refilledAt = now
	return b.available > 0
}

// disseminationState is how new items are sent on.
type disseminationState struct {
	gossipBudget  tokenBucket
	pushBudget    tokenBucket
	gossipPending bool // some entries are to be sent to members of the own zone
	pushPending   bool // some are to be sent to other zones
	nextGossipAt  monotime.Micros
}

func newDisseminationState(now monotime.Micros) disseminationState {
	return disseminationState{
		gossipBudget: newTokenBucket(gossipBytesPerSecond, gossipBytesBurst, now),
		pushBudget:   newTokenBucket(pushBytesPerSecond, pushBytesBurst, now),
	}
}

// transmitLimit decides to how many members of its zone each member sends an item that is new to it: as many as reach
// all, and spareTransmits. A member that misses it all the same learns it by anti-entropy.
func (d *Directory) transmitLimit() int { return spareTransmits + bits.Len(uint(len(d.zonePeers)+1)) }

// gossip sends new items to some members of the own zone, those first that were sent least often.
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

// endCompletedGossip ends the dissemination of items that were sent to enough members, or that nobody is there to
// receive. An item can be past transmitLimit without a further send, since the limit falls with the zone's size.
func (d *Directory) endCompletedGossip() {
	limit := d.transmitLimit()
	for _, e := range d.items {
		e.gossipPending = e.gossipPending && e.transmits < limit && len(d.zonePeers) > 0
	}
}

func (d *Directory) pendingEntries(pending func(*entry) bool) []*entry {
	var entries []*entry
	for _, key := range d.keys {
		if e := d.items[key]; pending(e) {
			entries = append(entries, e)
		}
	}
	return entries
}

// randomPeers draws up to n different members of the own zone.
func (d *Directory) randomPeers(n int) []Member {
	n = min(n, len(d.zonePeers))
	for i := range n {
		j := i + d.rng.IntN(len(d.zonePeers)-i)
		d.zonePeers[i], d.zonePeers[j] = d.zonePeers[j], d.zonePeers[i]
	}
	return d.zonePeers[:n]
}

// pushItems sends new items to one contact of each other zone, where this member is a delegate.
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
	if d.lastToLeave && d.leaveAnnouncements < Delegates { // nobody else will announce it
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

// pushTo sends those entries to a zone that it is to have from this one.
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

// shouldPush decides whether the own zone sends an item to another one: its own summary, records, and the summaries
// of zones that have no connection to it.
func (d *Directory) shouldPush(e *entry, to *zoneState) bool {
	if e.Summary == nil {
		return true
	}
	id := e.Summary.Site.ID()
	if id == d.ownZone || id == to.id {
		return id == d.ownZone
	}
	of := d.zoneByID(id)
	return of != nil && of.reportsUnreachable(to.id) || to.reportsUnreachable(id)
}

// notifyReplacedIssuers sends a zone's summary to the issuer of the one that it has replaced: in a zone that is
// partitioned itself, that one learns it from other zones only.
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
