package membership

import (
	"net/netip"

	"spurspread/decision/monotime"
	"spurspread/decision/splitmix"
)

// Anti-entropy: each message carries a digest of its sender's view. Views that differ for longer than updates take to
// spread are compared by bucket sums, and the entries of differing buckets are exchanged.

const (
	// syncInterval is the minimum time between two comparisons started by this member; syncJitter is the maximum random
	// addition.
	syncInterval = 1 * monotime.Second
	syncJitter   = syncInterval / 2
	// unknownSenderSyncInterval replaces syncInterval after a comparison that was started because of a ping from an
	// unknown member.
	unknownSenderSyncInterval = syncInterval / 2
	// divergenceTolerance is the time for which a view may differ before it is compared: most updates arrive by gossip
	// in the meantime.
	divergenceTolerance = 1 * monotime.Second
	// maxSyncReplies bounds the SyncEntries messages in reply to one comparison.
	maxSyncReplies = 4

	stateShift = 56 // position of the state in the input of an entry's hash
	foldShift  = 32 // folds a sum to half its width
)

// toggleDigest adds an entry to the digest and to its bucket's sum, or removes it if it is included. Suspects count as
// alive.
func (f *Fleet) toggleDigest(id ID, incarnation uint64, s State) {
	content := splitmix.Mix64(incarnation ^ uint64(s.withoutSuspicion())<<stateShift)
	hash := splitmix.Mix64(uint64(id) ^ content)
	f.digest ^= hash
	f.bucketSums[bucketOf(id)] ^= hash
}

func bucketOf(id ID) uint64 { return uint64(id) % SyncBuckets }

// foldedSums returns the bucket sums in the form in which messages carry them.
func (f *Fleet) foldedSums() []uint32 {
	folded := make([]uint32, SyncBuckets)
	for i, sum := range f.bucketSums {
		folded[i] = uint32(sum ^ sum>>foldShift)
	}
	return folded
}

// syncIfDiverged starts a comparison with the view of p if the digests have differed for divergenceTolerance and the
// last comparison started by this member was at least syncInterval ago.
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

// handleSyncSums answers a comparison with the entries of differing buckets and, unless it is a reply, with this
// member's sums.
func (f *Fleet) handleSyncSums(from netip.AddrPort, sender *peer, m *Message) {
	f.sendEntries(from, sender, m)
	if !m.IsReply {
		f.sendTo(from, m.From, sender, Message{Kind: SyncSums, IsReply: true, BucketSums: f.foldedSums()})
	}
}

// sendEntries sends the entries of differing buckets in up to maxSyncReplies messages, within the control budget. The
// order is random, so that repeated comparisons transfer all entries.
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

// entriesDiffering lists the entries of buckets whose sums differ from the given ones.
func (f *Fleet) entriesDiffering(sums []uint32) []Update {
	own := f.foldedSums()
	differs := func(id ID) bool { return own[bucketOf(id)] != sums[bucketOf(id)] }
	var entries []Update
	if !f.leaving && differs(f.self.ID) {
		entries = append(entries, f.ownUpdate(Alive))
	}
	for _, p := range f.peerList {
		if differs(p.ID) {
			entries = append(entries, p.syncEntry())
		}
	}
	return entries
}

// syncEntry returns the entry of a peer that anti-entropy exchanges.
func (p *peer) syncEntry() Update {
	return Update{
		ID:          p.ID,
		State:       p.state.withoutSuspicion(),
		Incarnation: p.incarnation,
		Instance:    p.Instance,
		Name:        p.Name,
		Addr:        p.Addr,
	}
}
