package proxy

import (
	"container/list"

	"spurspread/decision/monotime"
	"spurspread/decision/overload"
)

// idleConns are the downstream connections on which no request depends, by eviction class. Each costs a descriptor, and
// clients may open hundreds, send nothing and stay; so they are kept while descriptors suffice.
type idleConns struct {
	classes [overload.EvictionClasses]list.List // oldest first
}

// idlePosition is where a connection is among the idle ones; the zero value is nowhere.
type idlePosition struct {
	list  *list.List
	entry *list.Element
}

// add puts a connection last in its class.
func (i *idleConns) add(c *downstreamConn) {
	i.remove(c)
	class := &i.classes[overload.ClassOf(c.lingering, c.pings)]
	c.idle = idlePosition{class, class.PushBack(c)}
}

// remove takes a connection out, if it is in.
func (i *idleConns) remove(c *downstreamConn) {
	if c.idle.entry != nil {
		c.idle.list.Remove(c.idle.entry)
		c.idle = idlePosition{}
	}
}

// unanswered is how many have no final answer.
func (i *idleConns) unanswered() (n int) {
	for class := overload.Silent; class < overload.EvictionClasses; class++ {
		n += i.classes[class].Len()
	}
	return n
}

// accepted are those without a final answer that were accepted at a time or before.
func (i *idleConns) acceptedUntil(until monotime.Micros) (all []*downstreamConn) {
	for class := overload.Silent; class < overload.EvictionClasses; class++ {
		for entry := i.classes[class].Front(); entry != nil; entry = entry.Next() {
			if c := entry.Value.(*downstreamConn); c.acceptedAt <= until {
				all = append(all, c)
			}
		}
	}
	return all
}

// oldest is the oldest connection of the first class that has any, from the given class on; nil where none has.
func (i *idleConns) oldest(from overload.EvictionClass) *downstreamConn {
	for class := from; class < overload.EvictionClasses; class++ {
		if entry := i.classes[class].Front(); entry != nil {
			return entry.Value.(*downstreamConn)
		}
	}
	return nil
}
