package resume

// Registry belongs to the server that tokens name, and makes the final decision on them. A process creates one at its
// start. It does not know which tokens an earlier process accepted, and so accepts no token that names an earlier run.
type Registry struct {
	serverID  string
	startedAt UnixMillis
	skew      UnixMillis
	claims    claimTable
}

// NewRegistry returns the registry of the server that discovery lists as serverID, started at startedAt by its own
// clock. It holds at most maxClaims tokens; skew is the largest difference between clocks.
func NewRegistry(serverID string, startedAt, skew UnixMillis, maxClaims int) *Registry {
	return &Registry{serverID: serverID, startedAt: startedAt, skew: skew, claims: newClaimTable(maxClaims)}
}

// StreamLog describes the server's log of a stream.
type StreamLog struct {
	OldestCursor uint64 // the stream can be continued after this cursor or any later one
}

// Claim decides whether this server accepts a token that came with a request. In addition to the checks of a Validator,
// the token must name this run of this server, last no longer than MaxLifetime and continue where the log still
// reaches, and the server must not be draining. After Accepted, the caller must call Established or Release.
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
	if reason := grant.checkRequest(now, r.skew, request); reason != Accepted {
		return reason
	}
	if draining {
		return ServerDraining
	}
	if request.Cursor < log.OldestCursor {
		return LogGap
	}
	return r.claims.claim(now, grant)
}

// isForThisRun reports whether a grant is for the present run of this server: its start time is that of this run, or it
// is 0 and the server has run for minAgeForZeroStart, which is longer than any token is valid.
func (r *Registry) isForThisRun(now UnixMillis, grant *Grant) bool {
	if grant.ServerStartedAt == r.startedAt {
		return true
	}
	return grant.ServerStartedAt == 0 && now-r.startedAt >= minAgeForZeroStart
}

// Established records that the server accepted the attempt, which is live from now on.
func (r *Registry) Established(id ID) { r.claims.advance(id, stateLive) }

// Closed records that a live attempt has ended. Its token is used up.
func (r *Registry) Closed(id ID) { r.claims.advance(id, stateUsed) }

// Release records that the server has not accepted the attempt and never will. The token may be presented again.
func (r *Registry) Release(id ID) { r.claims.release(id) }

// Counts returns the numbers of pending, live and used tokens.
func (r *Registry) Counts() (pending, live, used int) {
	n := r.claims.counts()
	return n[statePending], n[stateLive], n[stateUsed]
}
