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
	gossipBudget, gossipReserve = 4096, 16 << 10
	pushBudget, pushReserve     = 4096, 16 << 10
	repairBudget, repairReserve = 4096, 24 << 10

	gossipEvery = 100 * ms
	gossipTo    = 3 // members at each gossipEvery

	maxAnswered = 1024
	answerEvery = 500 * ms
)

// bucket is a token bucket of bytes.
type bucket struct {
	left, rate, most float64
	at               monotime.Micros
}

func newBucket(rate, reserve float64, now monotime.Micros) bucket {
	return bucket{reserve, rate, reserve, now}
}

// has tells whether something may be sent.
func (p *bucket) has(now monotime.Micros) bool {
	p.left = min(p.left+p.rate*float64(now-p.at)/float64(sec), p.most)
	p.at = now
	return p.left > 0
}

// spreading is how new items are sent on.
type spreading struct {
	gossip, push bucket
	fresh        bool // some entries are to be sent to members of this zone
	pushes       bool // some are to be sent to other zones
	gossipAt     monotime.Micros
}

// sends is to how many members each that has an item sends it: the number that reaches all, and some for those
// lost. Whoever it does not reach all the same finds that directories differ.
func (d *Directory) sends() int { return 3 + bits.Len(uint(len(d.others)+1)) }

// gossip sends new items to some members of this zone, those first that were sent least often.
func (d *Directory) gossip(now monotime.Micros) {
	if !d.spread.fresh || now < d.spread.gossipAt || !d.spread.gossip.has(now) {
		return
	}
	d.spread.gossipAt = now + gossipEvery*9/10 + monotime.Micros(d.rng.Int64N(int64(gossipEvery/5)))
	var fresh []*entry
	for _, k := range d.keys {
		if e := d.items[k]; e.spreading {
			fresh = append(fresh, e)
		}
	}
	if d.spread.fresh = len(fresh) > 0 && len(d.others) > 0; !d.spread.fresh {
		for _, e := range fresh {
			e.spreading = false
		}
		return
	}
	slices.SortStableFunc(fresh, func(a, b *entry) int { return cmp.Compare(a.sent, b.sent) })
	part := fresh[:fitting(fresh)]
	m := Message{Kind: Update, Items: items(part)}
	to := d.some(min(gossipTo, d.sends()-part[len(part)-1].sent))
	for _, o := range to {
		d.spread.gossip.left -= float64(Size(&m))
		d.send(o.Addr, o.ID, m)
	}
	for _, e := range part {
		e.sent += len(to)
		e.spreading = e.sent < d.sends() && len(d.others) > gossipTo
	}
}

// some draws members of this zone.
func (d *Directory) some(n int) []Member {
	n = min(n, len(d.others))
	for i := range n {
		j := i + d.rng.IntN(len(d.others)-i)
		d.others[i], d.others[j] = d.others[j], d.others[i]
	}
	return d.others[:n]
}

// fitting is how many of the first entries go into one message.
func fitting(all []*entry) (n int) {
	for bytes := roomInUpdate; n < min(len(all), MaxItems); n++ {
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

// pushOut sends new items to one contact of each other zone that is to have them from this one.
func (d *Directory) pushOut(now monotime.Micros) {
	if !d.spread.pushes || d.delegate() && !d.spread.push.has(now) {
		return
	}
	var fresh []*entry
	for _, k := range d.keys {
		if e := d.items[k]; e.pushing {
			e.pushing = false
			fresh = append(fresh, e)
		}
	}
	d.spread.pushes = false
	if !d.delegate() {
		return
	}
	if d.last && d.leaveSends < Delegates { // nobody else will say it
		d.leaveSends++
		d.spread.pushes = true
		for _, e := range fresh {
			e.pushing = true
		}
	}
	d.tellBefore(fresh)
	for _, z := range d.zones {
		if z.id == d.own || len(z.Contacts) == 0 || z.link.down {
			continue
		}
		mine := slices.Clone(fresh)
		mine = slices.DeleteFunc(mine, func(e *entry) bool { return !d.pushes(e, z) })
		for len(mine) > 0 {
			n := fitting(mine)
			to := z.Contacts[(z.link.at+d.leaveSends)%len(z.Contacts)]
			d.sendPush(to, items(mine[:n]))
			mine = mine[n:]
		}
	}
}

func (d *Directory) sendPush(to Contact, it []Item) {
	m := Message{Kind: Update, Items: it}
	d.spread.push.left -= float64(Size(&m))
	d.send(to.Addr, to.ID, m)
}

// pushes tells whether this zone is to tell another of an item: what it says of itself, records, and what those say
// who have no connection of their own.
func (d *Directory) pushes(e *entry, to *zoneState) bool {
	if e.Summary == nil {
		return true
	}
	id := e.Summary.Site.ID()
	if id == d.own || id == to.id {
		return id == d.own
	}
	of := d.zone(id)
	return of != nil && of.misses(to.id) || to.misses(id)
}

// tellBefore tells the issuer of a summary that another's has replaced: in a zone that is torn in two it learns it
// only from others.
func (d *Directory) tellBefore(fresh []*entry) {
	for _, e := range fresh {
		if e.before != nil {
			if e.Summary.Site.ID() != d.own {
				d.sendPush(*e.before, []Item{e.Item})
			}
			e.before = nil
		}
	}
}
