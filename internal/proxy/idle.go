package proxy

import (
	"container/list"

	"spurspread/decision/monotime"
	"spurspread/decision/overload"
)

// idleConns holds the downstream connections that carry no request, by eviction class. Clients may open hundreds of
// connections without sending anything, and each uses a descriptor, so they are evicted when descriptors run short.
type idleConns struct {
	classes [overload.EvictionClasses]list.List // oldest first
}

// idlePosition is the position of a connection in idleConns; the zero value means that it is not in it.
type idlePosition struct {
	list  *list.List
	entry *list.Element
}

// add appends a connection to its class, after removing it from its previous one.
func (i *idleConns) add(c *downstreamConn) {
	i.remove(c)
	class := &i.classes[overload.ClassOf(c.lingering, c.pings)]
	c.idle = idlePosition{class, class.PushBack(c)}
}

// remove removes a connection; it does nothing if the connection is not in idleConns.
func (i *idleConns) remove(c *downstreamConn) {
	if c.idle.entry != nil {
		c.idle.list.Remove(c.idle.entry)
		c.idle = idlePosition{}
	}
}

// unanswered returns the number of connections without a final answer.
func (i *idleConns) unanswered() (n int) {
	for class := overload.NoRequest; class < overload.EvictionClasses; class++ {
		n += i.classes[class].Len()
	}
	return n
}

// acceptedUntil returns the connections without a final answer that were accepted at the given time or before.
func (i *idleConns) acceptedUntil(until monotime.Micros) (all []*downstreamConn) {
	for class := overload.NoRequest; class < overload.EvictionClasses; class++ {
		for entry := i.classes[class].Front(); entry != nil; entry = entry.Next() {
			if c := entry.Value.(*downstreamConn); c.acceptedAt <= until {
				all = append(all, c)
			}
		}
	}
	return all
}

// oldest returns the oldest connection of the first class that has one, starting at from; nil if there is none. A
// connection whose bytes are being handled is passed over: more channels may follow, and it must not be read again.
func (i *idleConns) oldest(from overload.EvictionClass) *downstreamConn {
	for class := from; class < overload.EvictionClasses; class++ {
		for entry := i.classes[class].Front(); entry != nil; entry = entry.Next() {
			if c := entry.Value.(*downstreamConn); c.mux == nil || !c.mux.feeding {
				return c
			}
		}
	}
	return nil
}
