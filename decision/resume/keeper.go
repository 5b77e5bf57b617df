package resume

// minAgeForZeroStart is how long a server must have run before a token that names a start "long ago" can mean the present one:
// longer than any token lasts, by more than any clocks may be apart.
const minAgeForZeroStart = UnixMillis(15 * 60 * 1000)

// MaxLifetime is how long a token may last at most.
const MaxLifetime = UnixMillis(10 * 60 * 1000)

// Registry is the part of the server that tokens name: it has the last word on them. One process has one, made at its
// start; what an earlier process granted is unknown to it, and so it honours no token that names an earlier start.
type Registry struct {
	serverID  string
	startedAt UnixMillis
	skew      UnixMillis
	claims    claimTable
}

// NewRegistry returns a keeper for the server that discovery lists as self, started at that time by its own clock. It
// remembers max tokens at most; skew is how far clocks may be apart.
func NewRegistry(self string, started, skew UnixMillis, most int) *Registry {
	return &Registry{serverID: self, startedAt: started, skew: skew, claims: newClaimTable(most)}
}

// StreamLog is how far the server's log of a stream reaches.
type StreamLog struct {
	OldestCursor uint64 // the stream can be continued after this cursor, and any later one
}

// Claim decides on a token that has come with a first line. Once it is Honoured, Up or Released must follow.
func (k *Registry) Claim(now UnixMillis, r *Grant, l *StreamRequest, log StreamLog, draining bool) Reason {
	if r.Server != k.serverID {
		return WrongServer
	}
	if r.ServerStartedAt != k.startedAt && !(r.ServerStartedAt == 0 && now-k.startedAt >= minAgeForZeroStart) {
		return ServerGone
	}
	if r.ExpiresAt-r.IssuedAt > MaxLifetime {
		return Malformed
	}
	if why := r.checkRequest(now, k.skew, l); why != Accepted {
		return why
	}
	if draining {
		return ServerDraining
	}
	if l.Cursor < log.OldestCursor {
		return LogGap
	}
	return k.claims.claim(now, r)
}

// Established notes that the server says UP: from here on the attempt is live.
func (k *Registry) Established(id ID) { k.claims.advance(id, stateLive) }

// Closed notes the end of an attempt that was live. Its token is spent.
func (k *Registry) Closed(id ID) { k.claims.advance(id, stateUsed) }

// Release notes that the server did not say UP and never will on that attempt: the token may be presented again.
func (k *Registry) Release(id ID) { k.claims.release(id) }

// Counts tells how many tokens are presented, live and spent.
func (k *Registry) Counts() (presented, live, spent int) {
	n := k.claims.counts()
	return n[0], n[1], n[2]
}
