package simulation

import "spurspread/lab/link"

// link returns the link from one member to another.
func (c *Cluster) link(from, to int) *link.Link {
	if c.LinkBetween != nil {
		return c.LinkBetween(from, to)
	}
	pair := [2]int{from, to}
	l := c.links[pair]
	if l == nil {
		own := c.defaultLink
		l = &own
		c.links[pair] = l
	}
	return l
}

// send counts a packet as sent, and schedules the arrival of its copies. The link draws their number and delays. A
// packet to the sender itself or to an unknown member is dropped.
func (c *Cluster) send(from int, p Packet) {
	c.SentBytes[from] += int64(p.Size)
	c.SentDatagrams++
	if p.To < 0 || p.To >= len(c.members) || p.To == from {
		return
	}
	l := c.link(from, p.To)
	for range l.DrawCopies(c.rng) {
		start := c.members[p.To].startCount
		c.schedule(
			Micros(l.DrawDelay(c.rng).Microseconds()),
			deliveryEvent,
			from,
			p.To,
			func() { c.arrive(from, start, p) },
		)
	}
}

// arrive delivers a packet to its member, or queues it while the member is paused. It drops a packet whose member has
// ended or was restarted since the packet was sent.
func (c *Cluster) arrive(from, start int, p Packet) {
	m := c.members[p.To]
	switch {
	case !m.up || m.startCount != start:
		return
	case c.now < m.pausedUntil || len(m.inbox) > 0:
		if len(m.inbox) < maxInbox {
			m.inbox = append(m.inbox, delivery{from: from, packet: p})
		}
	default:
		c.deliver(from, p.To, p)
	}
	c.ReceivedBytes[p.To] += int64(p.Size)
}

func (c *Cluster) deliver(from, to int, p Packet) {
	c.apply(to)(c.members[to].detector.Receive(c.now, from, p))
}

// UpdateLinks applies a change to the links from some members to others, in this direction only.
func (c *Cluster) UpdateLinks(from, to []int, change func(*link.Link)) {
	for _, a := range from {
		for _, b := range to {
			if a != b {
				change(c.link(a, b))
			}
		}
	}
	c.partitionedLinks = nil
}

// Heal resets all links to the cluster's default.
func (c *Cluster) Heal() {
	clear(c.links)
	c.partitionedLinks = nil
}

// Partitioned returns the links that are partitioned, as pairs of sender and receiver.
func (c *Cluster) Partitioned() map[[2]int]bool {
	if c.partitionedLinks == nil {
		c.partitionedLinks = map[[2]int]bool{}
		for pair, l := range c.links {
			if l.Partitioned {
				c.partitionedLinks[pair] = true
			}
		}
	}
	return c.partitionedLinks
}
