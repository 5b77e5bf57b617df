package resume

// Registry is the part of the server that tokens name: it has the last word on them. A process has one, made at its
// start. It does not know what an earlier process accepted, and so accepts no token that names an earlier run.
type Registry struct {
	serverID  string
	startedAt UnixMillis
	skew      UnixMillis
	claims    claimTable
}

// NewRegistry returns the registry of the server that discovery lists as serverID, started at that time by its own
// clock. It remembers at most maxClaims tokens; clocks differ by at most skew.
func NewRegistry(serverID string, startedAt, skew UnixMillis, maxClaims int) *Registry {
	return &Registry{serverID: serverID, startedAt: startedAt, skew: skew, claims: newClaimTable(maxClaims)}
}

// StreamLog is how far back the server's log of a stream reaches.
type StreamLog struct {
	OldestCursor uint64 // the stream can be continued after this cursor, and any later one
}

// Claim decides whether this server accepts a token that came with a request. Beyond what a Validator checks, the token
// must name this run of this server, last no longer than MaxLifetime, and continue where the log still reaches;
// and the server must not be draining. Once Accepted, Established or Release must follow.
func (r *Registry) Claim(now UnixMillis, grant *Grant, request *StreamRequest, log StreamLog, draining bool) Reason {
	if grant.Server != r.serverID {
		return WrongServer
	}
	if !r.isForThisRun(now, grant) {
		return ServerGone
	}
	if grant.ExpiresAt-grant.IssuedAt > MaxLifetime {
		return Malformed
	}
	if why := grant.checkRequest(now, r.skew, request); why != Accepted {
		return why
	}
	if draining {
		return ServerDraining
	}
	if request.Cursor < log.OldestCursor {
		return LogGap
	}
	return r.claims.claim(now, grant)
}

// isForThisRun decides whether a grant is for the present run of this server: it has its start time, or none while the
// server has run for minAgeForZeroStart, longer than any token is valid.
func (r *Registry) isForThisRun(now UnixMillis, grant *Grant) bool {
	if grant.ServerStartedAt == r.startedAt {
		return true
	}
	return grant.ServerStartedAt == 0 && now-r.startedAt >= minAgeForZeroStart
}

// Established records that the server accepted the attempt: from here on it is live.
func (r *Registry) Established(id ID) { r.claims.advance(id, stateLive) }

// Closed records that a live attempt has ended. Its token is used.
func (r *Registry) Closed(id ID) { r.claims.advance(id, stateUsed) }

// Release records that the server did not accept the attempt and never will: the token may be presented again.
func (r *Registry) Release(id ID) { r.claims.release(id) }

// Counts returns how many tokens are pending, live and used.
func (r *Registry) Counts() (pending, live, used int) {
	n := r.claims.counts()
	return n[statePending], n[stateLive], n[stateUsed]
}
