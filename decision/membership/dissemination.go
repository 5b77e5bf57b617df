package membership

import (
	"math/bits"

	"spurspread/decision/monotime"
)

const (
	// gossipInterval is the time between two rounds of messages that carry new updates only, gossipJitter by how much
	// it varies.
	gossipInterval = 100 * monotime.Millisecond
	gossipJitter   = gossipInterval / 2
	// gossipFanout is how many members get one in each round.
	gossipFanout = 3
	// spareTransmits is how often an update is sent beyond the rounds that reach all members, for those lost.
	spareTransmits = 3
)

// disseminate begins to spread an update.
func (f *Fleet) disseminate(u Update) { f.dissemination.enqueue(u) }

// transmitLimit decides how often an update is sent by each member that has it, received copies included: the rounds
// that reach all members, and spareTransmits. A member that misses it all the same learns it by anti-entropy.
func (f *Fleet) transmitLimit() int { return spareTransmits + bits.Len(uint(f.liveOthers()+1)) }

// gossip sends new updates in messages of their own.
func (f *Fleet) gossip(now monotime.Micros) {
	if now < f.nextGossipAt {
		return
	}
	f.nextGossipAt = now + f.spreadAround(gossipInterval, gossipJitter)
	if f.dissemination.freshCount == 0 || f.updateBytesAvailable() < maxUpdateBytes {
		return
	}
	for round := range gossipFanout {
		receivers := f.randomPeers(1, func(p *peer) bool { return gossipEligible(now, p, round) })
		if f.dissemination.freshCount == 0 {
			return
		}
		for _, p := range receivers {
			f.send(p.Addr, p, Message{Kind: Gossip})
		}
	}
}

// gossipEligible decides who may get the messages of one round of gossip: the first goes to any reachable member, so
// that those in close contact form no closed circle; the second also needs contact, since after a crash of many most
// others are gone; the third an answer within piggybackTimeout, since in a partition of one direction those that are
// received may receive nothing. Suspects are pinged, and get updates with that.
func gossipEligible(now monotime.Micros, p *peer, round int) bool {
	if !p.isReachable() {
		return false
	}
	answersLately := now-p.lastAck < piggybackTimeout
	switch round {
	case 0:
		return true
	case 1:
		return p.canConfirm || answersLately
	}
	return answersLately
}
