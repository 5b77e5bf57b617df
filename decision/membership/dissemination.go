package membership

import (
	"math/bits"

	"spurspread/decision/monotime"
)

const (
	// gossipInterval is the mean time between two rounds of gossip; gossipJitter is its range of variation.
	gossipInterval = 100 * monotime.Millisecond
	gossipJitter   = gossipInterval / 2
	// gossipFanout is the number of members that receive gossip in each round.
	gossipFanout = 3
	// spareTransmits is the number of transmissions of an update beyond those needed to reach all members, to
	// compensate for message loss.
	spareTransmits = 3
)

// disseminate queues an update for dissemination.
func (f *Fleet) disseminate(u Update) { f.dissemination.enqueue(u) }

// transmitLimit returns the number of transmissions of an update by each member that has it, including copies received
// from others: the rounds needed to reach all members plus spareTransmits. A member that still misses the update gets
// it by anti-entropy.
func (f *Fleet) transmitLimit() int { return spareTransmits + bits.Len(uint(f.liveOthers()+1)) }

// gossip sends new updates in dedicated messages.
func (f *Fleet) gossip(now monotime.Micros) {
	if now < f.nextGossipAt {
		return
	}
	f.nextGossipAt = now + f.spreadAround(gossipInterval, gossipJitter)
	if f.dissemination.freshCount == 0 || f.updateBytesAvailable() < maxUpdateBytes {
		return
	}
	for index := range gossipFanout {
		receivers := f.randomPeers(1, func(p *peer) bool { return gossipEligible(now, p, index) })
		if f.dissemination.freshCount == 0 {
			return
		}
		for _, p := range receivers {
			f.send(p.Addr, p, Message{Kind: Gossip})
		}
	}
}

// gossipEligible reports whether p may receive one of the messages of a gossip round; index counts them from 0. The
// first message goes to any reachable member, so that members in close contact do not form a closed group. The second
// also requires contact, since after a crash of many members most of the others are gone. The third requires an ack
// within piggybackTimeout, since in a one-way partition members whose messages arrive here may receive nothing.
// Suspects are excluded: they are pinged, and each ping carries the state that this member attributes to them.
func gossipEligible(now monotime.Micros, p *peer, index int) bool {
	if !p.isReachable() {
		return false
	}
	answersLately := now-p.lastAck < piggybackTimeout
	switch index {
	case 0:
		return true
	case 1:
		return p.canConfirm || answersLately
	}
	return answersLately
}
