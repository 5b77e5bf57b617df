package membership

import (
	"net/netip"

	"spurspread/decision/monotime"
	"spurspread/decision/splitmix"
)

// Anti-entropy: each message carries a digest of its sender's view. Views that differ for longer than updates take
// are compared bucket by bucket, and the entries of buckets that differ are exchanged.

const (
	// syncInterval is the least time between two comparisons that this member begins, syncJitter what is added at
	// random.
	syncInterval = 1 * monotime.Second
	syncJitter   = syncInterval / 2
	// unknownSenderSyncInterval is the same for those begun since an unknown member sent a ping.
	unknownSenderSyncInterval = syncInterval / 2
	// divergenceTolerance is how long a view may differ before it is compared: updates mostly arrive by themselves.
	divergenceTolerance = 1 * monotime.Second
	// maxSyncReplies bounds the messages of entries in answer to one comparison.
	maxSyncReplies = 4

	stateShift = 56 // of the state within an entry's hash
	foldShift  = 32 // to fold a sum to half its width
)

// toggleDigest adds an entry to the digest and its bucket's sum, or removes it again. Suspects count as alive.
func (f *Fleet) toggleDigest(id ID, incarnation uint64, s State) {
	content := splitmix.Mix64(incarnation ^ uint64(s.withoutSuspicion())<<stateShift)
	hash := splitmix.Mix64(uint64(id) ^ content)
	f.digest ^= hash
	f.bucketSums[bucketOf(id)] ^= hash
}

func bucketOf(id ID) uint64 { return uint64(id) % SyncBuckets }

// foldedSums returns the sums of all buckets, as messages carry them.
func (f *Fleet) foldedSums() []uint32 {
	folded := make([]uint32, SyncBuckets)
	for i, sum := range f.bucketSums {
		folded[i] = uint32(sum ^ sum>>foldShift)
	}
	return folded
}

// syncIfDiverged decides whether the view of p is compared with this one: it has differed for divergenceTolerance,
// and the last comparison was syncInterval ago.
func (f *Fleet) syncIfDiverged(now monotime.Micros, p *peer, digest uint64) {
	if digest == f.digest {
		p.divergedSince = 0
		p.restoredAt = 0
		f.joined = true
		return
	}
	if p.divergedSince == 0 {
		p.divergedSince = now
	}
	if now-p.divergedSince < divergenceTolerance || now < f.nextSyncAt {
		return
	}
	f.nextSyncAt = now + syncInterval + f.jitter(syncJitter)
	p.divergedSince = now
	f.send(p.Addr, p, Message{Kind: SyncSums, BucketSums: f.foldedSums()})
}

// handleSyncSums answers a comparison with the entries of buckets that differ, and with this view's sums.
func (f *Fleet) handleSyncSums(from netip.AddrPort, sender *peer, m *Message) {
	f.sendEntries(from, sender, m)
	if !m.IsReply {
		f.sendTo(from, m.From, sender, Message{Kind: SyncSums, IsReply: true, BucketSums: f.foldedSums()})
	}
}

// sendEntries sends entries of buckets that differ, as far as maxSyncReplies messages and the budget hold. Their
// order is random, so that all arrive after some comparisons.
func (f *Fleet) sendEntries(from netip.AddrPort, sender *peer, m *Message) {
	if len(m.BucketSums) != SyncBuckets {
		return
	}
	entries := f.entriesDiffering(m.BucketSums)
	f.rng.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	for range maxSyncReplies {
		part := entries[:countFitting(entries, max(int(f.controlBudget), 0))]
		if len(part) == 0 {
			return
		}
		entries = entries[len(part):]
		f.sendTo(from, m.From, sender, Message{Kind: SyncEntries, Updates: part})
	}
}

// entriesDiffering lists the entries of this view in buckets whose sums differ from these.
func (f *Fleet) entriesDiffering(sums []uint32) []Update {
	own := f.foldedSums()
	differs := func(id ID) bool { return own[bucketOf(id)] != sums[bucketOf(id)] }
	var entries []Update
	if !f.leaving && differs(f.self.ID) {
		entries = append(entries, f.ownUpdate(Alive))
	}
	for _, p := range f.peerList {
		if differs(p.ID) {
			entries = append(entries, p.entry())
		}
	}
	return entries
}

// entry is what this view has of a peer, as anti-entropy exchanges it.
func (p *peer) entry() Update {
	return Update{
		ID:          p.ID,
		State:       p.state.withoutSuspicion(),
		Incarnation: p.incarnation,
		Instance:    p.Instance,
		Name:        p.Name,
		Addr:        p.Addr,
	}
}
