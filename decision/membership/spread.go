package membership

import (
	"math/bits"
	"slices"
	"spurspread/decision/monotime"
)

// About how long a rumor and a message without any are, sealed (packet.Size is exact), and how much news a message has.
const (
	shortRumor    = 16
	longRumor     = 34
	messageBytes  = 125
	roomInMessage = 1000
)

func rumorBytes(r *Rumor) int {
	if r.Name == "" && !r.Addr.IsValid() {
		return shortRumor
	}
	return longRumor + len(r.Name)
}

// fitting is how many of the first rumors go into so many bytes, and into one message.
func fitting(all []Rumor, bytes int) (n int) {
	for bytes = min(bytes, roomInMessage); n < min(len(all), MaxRumors); n++ {
		if bytes -= rumorBytes(&all[n]); bytes < 0 {
			break
		}
	}
	return n
}

// item is news of one member that is being spread.
type item struct {
	Rumor
	sent int // how often it was sent, or came back
}

// spreading is the news being spread, at most one piece of each member, in queues by how often they were sent. A
// queue may hold members whose news has moved on; they are passed over.
type spreading struct {
	items  map[ID]*item
	queues [maxSends][]ID
	fresh  int // sent less than freshSends times
}

// put begins to spread news, in place of what is being said of that member.
func (s *spreading) put(r Rumor) {
	if s.items == nil {
		s.items = map[ID]*item{}
	}
	if old := s.items[r.ID]; old != nil {
		if r.Inc < old.Inc || r.Inc == old.Inc && r.State < old.State {
			return
		}
		s.count(old, -1)
	} else if len(s.items) >= maxNews {
		return
	}
	it := &item{Rumor: r}
	s.items[r.ID] = it
	s.count(it, 1)
	s.queues[0] = append(s.queues[0], r.ID)
}

func (s *spreading) count(it *item, by int) {
	if it.sent < freshSends {
		s.fresh += by
	}
}

// on counts a piece as sent once more; after most times it is news no longer.
func (s *spreading) on(it *item, most int) {
	s.count(it, -1)
	if it.sent++; it.sent >= min(most, maxSends) {
		delete(s.items, it.ID)
		return
	}
	s.count(it, 1)
	s.queues[it.sent] = append(s.queues[it.sent], it.ID)
}

// drop ends the spreading of some news.
func (s *spreading) drop(old func(*Rumor) bool) {
	for id, it := range s.items {
		if old(&it.Rumor) {
			s.count(it, -1)
			delete(s.items, id)
		}
	}
}

// heard counts news that has come back from another: it needs to be told to fewer.
func (s *spreading) heard(r Rumor, most int) {
	if it := s.items[r.ID]; it != nil && it.Inc == r.Inc && it.State == r.State {
		s.on(it, most)
	}
}

// pick takes what was sent least often, as far as it goes into so many bytes, and counts it as sent.
func (s *spreading) pick(bytes, n, most int) (out []Rumor) {
	var taken []*item
	for sent := range s.queues {
		q := s.queues[sent]
		at := 0
		for ; at < len(q) && len(taken) < n; at++ {
			it := s.items[q[at]]
			if it == nil || it.sent != sent || slices.Contains(taken, it) {
				continue
			}
			if bytes -= rumorBytes(&it.Rumor); bytes < 0 {
				n = 0
				break
			}
			taken, out = append(taken, it), append(out, it.Rumor)
		}
		if s.queues[sent] = q[at:]; len(s.queues[sent]) == 0 {
			s.queues[sent] = nil
		}
		if len(taken) >= n {
			break
		}
	}
	for _, it := range taken {
		s.on(it, most)
	}
	return out
}

// tell begins to spread news.
func (f *Fleet) tell(r Rumor) { f.news.put(r) }

// sends is how often news is sent by each that has it, or comes back to it: the number of rounds that reach all,
// and some for those lost. Whoever it does not reach all the same finds that views differ.
func (f *Fleet) sends() int { return 3 + bits.Len(uint(len(f.rings[0])+1)) }

// room is how many bytes of news may be sent now.
func (f *Fleet) room() int { return max(int(f.purse), 0) }

// gossip sends fresh news on its own: one to anybody, so that those who know each other well are no closed circle,
// one to whoever was heard lately, since after a crash of many most others are gone, and one to whoever has
// answered lately, since in a cut one way those who are heard may hear nothing. Who is suspected is asked, and so
// told, all the same.
func (f *Fleet) gossip(now monotime.Micros) {
	if now < f.gossipAt {
		return
	}
	f.gossipAt = now + gossipTime*3/4 + f.jitter(gossipTime/2)
	if f.news.fresh == 0 || f.room() < roomInMessage {
		return
	}
	for i := range gossipTo {
		to := f.some(1, func(p *peer) bool {
			return p.state == Alive && !p.mine && (i == 0 || i == 1 && p.hears || now-p.answersAt < newsTime)
		})
		if f.news.fresh == 0 {
			return
		}
		if len(to) == 0 {
			continue
		}
		f.send(to[0].Addr, to[0], Message{Kind: Gossip})
	}
}
