package membership

import (
	"math/bits"
	"slices"
	"spurspread/decision/monotime"
)

// About how long a rumor and a message without any are, sealed (packet.Size is exact), and how much news a message has.
const (
	bareUpdateBytes      = 16
	describedUpdateBytes = 34
	messageOverheadBytes = 125
	maxUpdateBytes       = 1000
)

func updateBytes(r *Update) int {
	if r.Name == "" && !r.Addr.IsValid() {
		return bareUpdateBytes
	}
	return describedUpdateBytes + len(r.Name)
}

// countFitting is how many of the first rumors go into so many bytes, and into one message.
func countFitting(all []Update, bytes int) (n int) {
	for bytes = min(bytes, maxUpdateBytes); n < min(len(all), MaxUpdates); n++ {
		if bytes -= updateBytes(&all[n]); bytes < 0 {
			break
		}
	}
	return n
}

// queuedUpdate is news of one member that is being spread.
type queuedUpdate struct {
	Update
	transmits int // how often it was sent, or came back
}

// disseminationQueue is the news being spread, at most one piece of each member, in queues by how often they were sent. A
// queue may hold members whose news has moved on; they are passed over.
type disseminationQueue struct {
	items       map[ID]*queuedUpdate
	byTransmits [maxTransmits][]ID
	freshCount  int // sent less than freshSends times
}

// enqueue begins to spread news, in place of what is being said of that member.
func (s *disseminationQueue) enqueue(r Update) {
	if s.items == nil {
		s.items = map[ID]*queuedUpdate{}
	}
	if old := s.items[r.ID]; old != nil {
		if r.Incarnation < old.Incarnation || r.Incarnation == old.Incarnation && r.State < old.State {
			return
		}
		s.adjustFresh(old, -1)
	} else if len(s.items) >= maxQueuedUpdates {
		return
	}
	it := &queuedUpdate{Update: r}
	s.items[r.ID] = it
	s.adjustFresh(it, 1)
	s.byTransmits[0] = append(s.byTransmits[0], r.ID)
}

func (s *disseminationQueue) adjustFresh(it *queuedUpdate, by int) {
	if it.transmits < standaloneTransmits {
		s.freshCount += by
	}
}

// countTransmit counts a piece as sent once more; after most times it is news no longer.
func (s *disseminationQueue) countTransmit(it *queuedUpdate, most int) {
	s.adjustFresh(it, -1)
	if it.transmits++; it.transmits >= min(most, maxTransmits) {
		delete(s.items, it.ID)
		return
	}
	s.adjustFresh(it, 1)
	s.byTransmits[it.transmits] = append(s.byTransmits[it.transmits], it.ID)
}

// remove ends the spreading of some news.
func (s *disseminationQueue) remove(old func(*Update) bool) {
	for id, it := range s.items {
		if old(&it.Update) {
			s.adjustFresh(it, -1)
			delete(s.items, id)
		}
	}
}

// countReceived counts news that has come back from another: it needs to be told to fewer.
func (s *disseminationQueue) countReceived(r Update, most int) {
	if it := s.items[r.ID]; it != nil && it.Incarnation == r.Incarnation && it.State == r.State {
		s.countTransmit(it, most)
	}
}

// takeBatch takes what was sent least often, as far as it goes into so many bytes, and counts it as sent.
func (s *disseminationQueue) takeBatch(bytes, n, most int) (out []Update) {
	var taken []*queuedUpdate
	for sent := range s.byTransmits {
		q := s.byTransmits[sent]
		at := 0
		for ; at < len(q) && len(taken) < n; at++ {
			it := s.items[q[at]]
			if it == nil || it.transmits != sent || slices.Contains(taken, it) {
				continue
			}
			if bytes -= updateBytes(&it.Update); bytes < 0 {
				n = 0
				break
			}
			taken, out = append(taken, it), append(out, it.Update)
		}
		if s.byTransmits[sent] = q[at:]; len(s.byTransmits[sent]) == 0 {
			s.byTransmits[sent] = nil
		}
		if len(taken) >= n {
			break
		}
	}
	for _, it := range taken {
		s.countTransmit(it, most)
	}
	return out
}

// disseminate begins to spread news.
func (f *Fleet) disseminate(r Update) { f.dissemination.enqueue(r) }

// transmitLimit is how often news is sent by each that has it, or comes back to it: the number of rounds that reach all,
// and some for those lost. Whoever it does not reach all the same finds that views differ.
func (f *Fleet) transmitLimit() int { return 3 + bits.Len(uint(len(f.rings[0])+1)) }

// updateBytesAvailable is how many bytes of news may be sent now.
func (f *Fleet) updateBytesAvailable() int { return max(int(f.updateBudget), 0) }

// gossip sends fresh news on its own: one to anybody, so that those who know each other well are no closed circle,
// one to whoever was heard lately, since after a crash of many most others are gone, and one to whoever has
// answered lately, since in a cut one way those who are heard may hear nothing. Who is suspected is asked, and so
// told, all the same.
func (f *Fleet) gossip(now monotime.Micros) {
	if now < f.nextGossipAt {
		return
	}
	f.nextGossipAt = now + gossipInterval*3/4 + f.jitter(gossipInterval/2)
	if f.dissemination.freshCount == 0 || f.updateBytesAvailable() < maxUpdateBytes {
		return
	}
	for i := range gossipFanout {
		to := f.randomPeers(1, func(p *peer) bool {
			return p.state == Alive && !p.ownProbeFailed &&
				(i == 0 || i == 1 && p.canConfirm || now-p.lastAck < piggybackTimeout)
		})
		if f.dissemination.freshCount == 0 {
			return
		}
		if len(to) == 0 {
			continue
		}
		f.send(to[0].Addr, to[0], Message{Kind: Gossip})
	}
}
