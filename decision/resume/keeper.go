package resume

// longAgo is how long a server must have run before a token that names a start "long ago" can mean the present one:
// longer than any token lasts, by more than any clocks may be apart.
const longAgo = Millis(15 * 60 * 1000)

// MaxLife is how long a token may last at most.
const MaxLife = Millis(10 * 60 * 1000)

// Keeper is the part of the server that tokens name: it has the last word on them. One process has one, made at its
// start; what an earlier process granted is unknown to it, and so it honours no token that names an earlier start.
type Keeper struct {
	self    string
	started Millis
	skew    Millis
	claims  claims
}

// NewKeeper returns a keeper for the server that discovery lists as self, started at that time by its own clock. It
// remembers max tokens at most; skew is how far clocks may be apart.
func NewKeeper(self string, started, skew Millis, most int) *Keeper {
	return &Keeper{self: self, started: started, skew: skew, claims: newClaims(most)}
}

// Log is how far the server's log of a stream reaches.
type Log struct {
	Floor uint64 // the stream can be continued after this cursor, and any later one
}

// Present decides on a token that has come with a first line. Once it is Honoured, Up or Released must follow.
func (k *Keeper) Present(now Millis, r *Right, l *Line, log Log, draining bool) Reason {
	if r.Server != k.self {
		return Elsewhere
	}
	if r.Started != k.started && !(r.Started == 0 && now-k.started >= longAgo) {
		return Gone
	}
	if r.Expires-r.Minted > MaxLife {
		return Malformed
	}
	if why := r.check(now, k.skew, l); why != Honoured {
		return why
	}
	if draining {
		return Draining
	}
	if l.Cursor < log.Floor {
		return Gap
	}
	return k.claims.present(now, r)
}

// Up notes that the server says UP: from here on the attempt is live.
func (k *Keeper) Up(id ID) { k.claims.become(id, live) }

// Ended notes the end of an attempt that was live. Its token is spent.
func (k *Keeper) Ended(id ID) { k.claims.become(id, spent) }

// Released notes that the server did not say UP and never will on that attempt: the token may be presented again.
func (k *Keeper) Released(id ID) { k.claims.release(id) }

// Count tells how many tokens are presented, live and spent.
func (k *Keeper) Count() (presented, live, spent int) {
	n := k.claims.count()
	return n[0], n[1], n[2]
}
