package membership

import "slices"

const (
	// standaloneTransmits is how often an update is sent in messages of its own; then it goes along with others only.
	standaloneTransmits = 4
	// maxTransmits bounds how often an update is sent: more than transmitLimit in the largest fleet.
	maxTransmits = 16
	// maxQueuedUpdates bounds the queue. Members beyond it learn of an update by anti-entropy.
	maxQueuedUpdates = 1024
)

// queuedUpdate is an update that is being disseminated.
type queuedUpdate struct {
	Update
	transmits int // how often it was sent or came back
}

// disseminationQueue has the updates that are being disseminated, the newest one of each member. They are listed by
// how often they were sent. A list may have members whose update is now in another one, or in none: these are passed
// over.
type disseminationQueue struct {
	items       map[ID]*queuedUpdate
	byTransmits [maxTransmits][]ID
	freshCount  int // updates with less than standaloneTransmits
}

// enqueue begins to disseminate an update in place of an older one of the same member.
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

// countTransmit counts an update as sent once more. After limit times it is dropped.
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

// remove drops all updates that match.
func (q *disseminationQueue) remove(matches func(*Update) bool) {
	for id, queued := range q.items {
		if matches(&queued.Update) {
			q.adjustFresh(queued, -1)
			delete(q.items, id)
		}
	}
}

// countReceived counts an update that came back from another member as sent: fewer need it.
func (q *disseminationQueue) countReceived(u Update, limit int) {
	queued := q.items[u.ID]
	if queued != nil && queued.Incarnation == u.Incarnation && queued.State == u.State {
		q.countTransmit(queued, limit)
	}
}

// batch is what goes into one message.
type batch struct {
	bytesLeft, countLeft int
	items                []*queuedUpdate
}

// add reports whether an update still went into the batch.
func (b *batch) add(queued *queuedUpdate) bool {
	b.bytesLeft -= updateBytes(&queued.Update)
	if b.bytesLeft < 0 {
		return false
	}
	b.countLeft--
	b.items = append(b.items, queued)
	return true
}

// takeBatch takes the updates that were sent least often, up to count of them and within bytes, and counts them as
// sent.
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

// fill moves updates that were sent so often into a batch. It reports whether the batch is full.
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
