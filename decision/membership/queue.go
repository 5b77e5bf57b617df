package membership

import "slices"

const (
	// standaloneTransmits is the number of times that an update is sent in dedicated gossip messages. After that it is
	// only piggybacked on other messages.
	standaloneTransmits = 4
	// maxTransmits bounds the transmissions of an update. It exceeds transmitLimit in the largest fleet.
	maxTransmits = 16
	// maxQueuedUpdates bounds the queue. Updates beyond it are not queued, and reach others by anti-entropy.
	maxQueuedUpdates = 1024
)

// queuedUpdate is an update in dissemination.
type queuedUpdate struct {
	Update
	transmits int // times sent by this member or received back from others
}

// disseminationQueue holds the newest update in dissemination for each member, grouped by number of transmissions. A
// group may contain stale IDs, whose update has moved to another group or has been removed; these are skipped.
type disseminationQueue struct {
	items       map[ID]*queuedUpdate
	byTransmits [maxTransmits][]ID
	freshCount  int // updates with fewer than standaloneTransmits transmissions
}

// enqueue adds an update, replacing an older one about the same member. It ignores an update that is older than the
// queued one, and updates beyond maxQueuedUpdates.
func (q *disseminationQueue) enqueue(u Update) {
	if q.items == nil {
		q.items = map[ID]*queuedUpdate{}
	}
	if old := q.items[u.ID]; old != nil {
		if u.Incarnation < old.Incarnation || u.Incarnation == old.Incarnation && u.State < old.State {
			return
		}
		q.adjustFresh(old, -1)
	} else if len(q.items) >= maxQueuedUpdates {
		return
	}
	queued := &queuedUpdate{Update: u}
	q.items[u.ID] = queued
	q.adjustFresh(queued, 1)
	q.byTransmits[0] = append(q.byTransmits[0], u.ID)
}

func (q *disseminationQueue) adjustFresh(queued *queuedUpdate, by int) {
	if queued.transmits < standaloneTransmits {
		q.freshCount += by
	}
}

// countTransmit counts one more transmission of an update, and removes the update after limit transmissions.
func (q *disseminationQueue) countTransmit(queued *queuedUpdate, limit int) {
	q.adjustFresh(queued, -1)
	queued.transmits++
	if queued.transmits >= min(limit, maxTransmits) {
		delete(q.items, queued.ID)
		return
	}
	q.adjustFresh(queued, 1)
	q.byTransmits[queued.transmits] = append(q.byTransmits[queued.transmits], queued.ID)
}

// remove removes all matching updates.
func (q *disseminationQueue) remove(matches func(*Update) bool) {
	for id, queued := range q.items {
		if matches(&queued.Update) {
			q.adjustFresh(queued, -1)
			delete(q.items, id)
		}
	}
}

// countReceived counts an update received from another member as a transmission: that member disseminates it as well.
func (q *disseminationQueue) countReceived(u Update, limit int) {
	queued := q.items[u.ID]
	if queued != nil && queued.Incarnation == u.Incarnation && queued.State == u.State {
		q.countTransmit(queued, limit)
	}
}

// batch collects the updates for one message.
type batch struct {
	bytesLeft, countLeft int
	items                []*queuedUpdate
}

// add adds an update and reports whether it fit.
func (b *batch) add(queued *queuedUpdate) bool {
	b.bytesLeft -= updateBytes(&queued.Update)
	if b.bytesLeft < 0 {
		return false
	}
	b.countLeft--
	b.items = append(b.items, queued)
	return true
}

// takeBatch returns the updates with the fewest transmissions, at most count updates and the given number of bytes, and
// counts one transmission of each.
func (q *disseminationQueue) takeBatch(bytes, count, limit int) []Update {
	b := batch{bytesLeft: bytes, countLeft: count}
	for transmits := range q.byTransmits {
		if full := q.fill(&b, transmits); full {
			break
		}
	}
	var updates []Update
	for _, queued := range b.items {
		updates = append(updates, queued.Update)
		q.countTransmit(queued, limit)
	}
	return updates
}

// fill adds updates with the given number of transmissions to a batch. It reports whether the batch is full.
func (q *disseminationQueue) fill(b *batch, transmits int) bool {
	ids := q.byTransmits[transmits]
	full := false
	next := 0
	for ; next < len(ids) && b.countLeft > 0; next++ {
		queued := q.items[ids[next]]
		if queued == nil || queued.transmits != transmits || slices.Contains(b.items, queued) {
			continue
		}
		if !b.add(queued) {
			full = true
			break
		}
	}
	q.byTransmits[transmits] = ids[next:]
	if next == len(ids) {
		q.byTransmits[transmits] = nil
	}
	return full || b.countLeft <= 0
}
