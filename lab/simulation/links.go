package simulation

import "spurspread/lab/link"

// link is the one from a member to another.
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

// send puts a packet on its way, as often as its link says.
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

// arrive hands a packet to the process that ran when it was sent, or has it wait while that is paused.
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

// UpdateLinks changes the links from some members to others, in one direction.
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

// Heal makes all links what they are usually.
func (c *Cluster) Heal() {
	clear(c.links)
	c.partitionedLinks = nil
}

// Partitioned lists the links that carry nothing, as from and to.
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
