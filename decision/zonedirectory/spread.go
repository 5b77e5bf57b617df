package zonedirectory

import (
	"cmp"
	"math/bits"
	"slices"
	"spurspread/decision/monotime"
)

// Bytes a second that a member sends on average, and how many it may have saved up: of new items within its zone,
// of new items to other zones, and of answers where directories differ. Together with what member.Fleet sends and
// what comes in, a member stays under 28,000 bytes a second in any ten seconds.
const (
	gossipBytesPerSecond, gossipBytesBurst = 4096, 16 << 10
	pushBytesPerSecond, pushBytesBurst     = 4096, 16 << 10
	repairBytesPerSecond, repairBytesBurst = 4096, 24 << 10

	gossipInterval = 100 * ms
	gossipFanout   = 3 // members at each gossipEvery

	maxIntroduced             = 1024
	introductionReplyInterval = 500 * ms
)

// tokenBucket is a token bucket of bytes.
type tokenBucket struct {
	available, rate, burst float64
	refilledAt             monotime.Micros
}

func newTokenBucket(rate, reserve float64, now monotime.Micros) tokenBucket {
	return tokenBucket{reserve, rate, reserve, now}
}

// refill tells whether something may be sent.
func (p *tokenBucket) refill(now monotime.Micros) bool {
	p.available = min(p.available+p.rate*float64(now-p.refilledAt)/float64(sec), p.burst)
	p.refilledAt = now
	return p.available > 0
}

// disseminationState is how new items are sent on.
type disseminationState struct {
	gossipBudget, pushBudget tokenBucket
	gossipPending            bool // some entries are to be sent to members of this zone
	pushPending              bool // some are to be sent to other zones
	nextGossipAt             monotime.Micros
}

// transmitLimit is to how many members each that has an item sends it: the number that reaches all, and some for those
// lost. Whoever it does not reach all the same finds that directories differ.
func (d *Directory) transmitLimit() int { return 3 + bits.Len(uint(len(d.zonePeers)+1)) }

// gossip sends new items to some members of this zone, those first that were sent least often.
func (d *Directory) gossip(now monotime.Micros) {
	if !d.dissemination.gossipPending || now < d.dissemination.nextGossipAt ||
		!d.dissemination.gossipBudget.refill(now) {
		return
	}
	d.dissemination.nextGossipAt = now + gossipInterval*9/10 + monotime.Micros(d.rng.Int64N(int64(gossipInterval/5)))
	var fresh []*entry
	for _, k := range d.keys {
		if e := d.items[k]; e.gossipPending {
			fresh = append(fresh, e)
		}
	}
	if d.dissemination.gossipPending = len(fresh) > 0 && len(d.zonePeers) > 0; !d.dissemination.gossipPending {
		for _, e := range fresh {
			e.gossipPending = false
		}
		return
	}
	slices.SortStableFunc(fresh, func(a, b *entry) int { return cmp.Compare(a.transmits, b.transmits) })
	part := fresh[:countFitting(fresh)]
	m := Message{Kind: Update, Items: items(part)}
	to := d.randomPeers(min(gossipFanout, d.transmitLimit()-part[len(part)-1].transmits))
	for _, o := range to {
		d.dissemination.gossipBudget.available -= float64(ApproximateSize(&m))
		d.send(o.Addr, o.ID, m)
	}
	for _, e := range part {
		e.transmits += len(to)
		e.gossipPending = e.transmits < d.transmitLimit() && len(d.zonePeers) > gossipFanout
	}
}

// randomPeers draws members of this zone.
func (d *Directory) randomPeers(n int) []Member {
	n = min(n, len(d.zonePeers))
	for i := range n {
		j := i + d.rng.IntN(len(d.zonePeers)-i)
		d.zonePeers[i], d.zonePeers[j] = d.zonePeers[j], d.zonePeers[i]
	}
	return d.zonePeers[:n]
}

// countFitting is how many of the first entries go into one message.
func countFitting(all []*entry) (n int) {
	for bytes := maxItemBytes; n < min(len(all), MaxItems); n++ {
		if bytes -= itemSize(&all[n].Item); bytes < 0 && n > 0 {
			break
		}
	}
	return n
}

func items(entries []*entry) []Item {
	out := make([]Item, len(entries))
	for i, e := range entries {
		out[i] = e.Item
	}
	return out
}

// pushItems sends new items to one contact of each other zone that is to have them from this one.
func (d *Directory) pushItems(now monotime.Micros) {
	if !d.dissemination.pushPending || d.isActiveDelegate() && !d.dissemination.pushBudget.refill(now) {
		return
	}
	var fresh []*entry
	for _, k := range d.keys {
		if e := d.items[k]; e.pushPending {
			e.pushPending = false
			fresh = append(fresh, e)
		}
	}
	d.dissemination.pushPending = false
	if !d.isActiveDelegate() {
		return
	}
	if d.lastToLeave && d.leaveAnnouncements < Delegates { // nobody else will say it
		d.leaveAnnouncements++
		d.dissemination.pushPending = true
		for _, e := range fresh {
			e.pushPending = true
		}
	}
	d.notifyReplacedIssuers(fresh)
	for _, z := range d.zones {
		if z.id == d.ownZone || len(z.Contacts) == 0 || z.link.down {
			continue
		}
		mine := slices.Clone(fresh)
		mine = slices.DeleteFunc(mine, func(e *entry) bool { return !d.shouldPush(e, z) })
		for len(mine) > 0 {
			n := countFitting(mine)
			to := z.Contacts[(z.link.contactIndex+d.leaveAnnouncements)%len(z.Contacts)]
			d.sendPush(to, items(mine[:n]))
			mine = mine[n:]
		}
	}
}

func (d *Directory) sendPush(to Contact, it []Item) {
	m := Message{Kind: Update, Items: it}
	d.dissemination.pushBudget.available -= float64(ApproximateSize(&m))
	d.send(to.Addr, to.ID, m)
}

// shouldPush tells whether this zone is to tell another of an item: what it says of itself, records, and what those say
// who have no connection of their own.
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

// notifyReplacedIssuers tells the issuer of a summary that another's has replaced: in a zone that is torn in two it learns it
// only from others.
func (d *Directory) notifyReplacedIssuers(fresh []*entry) {
	for _, e := range fresh {
		if e.replacedIssuer != nil {
			if e.Summary.Site.ID() != d.ownZone {
				d.sendPush(*e.replacedIssuer, []Item{e.Item})
			}
			e.replacedIssuer = nil
		}
	}
}
