package resume

// UnixMillis is Unix time, or a span, in milliseconds.
type UnixMillis int64

const (
	minute UnixMillis = 60 * 1000

	// MaxLifetime is the longest lifetime that a token may have.
	MaxLifetime = 10 * minute
	// minAgeForZeroStart is how long a server must have run for a token without a start time to name its present run:
	// longer than MaxLifetime, by more than clocks may differ.
	minAgeForZeroStart = 15 * minute
)

// ID identifies a token.
type ID [16]byte

// Grant is what an opened token states, as far as decisions need it.
type Grant struct {
	ID              ID
	IssuedAt        UnixMillis // by the issuing balancer's clock
	ExpiresAt       UnixMillis // by the same clock
	Class           string     // of the stream, as are Key, Group and Tenant
	Key             uint64
	Group           uint64
	Tenant          uint64
	LastDelivered   uint64     // cursor of the last message that had been delivered when the token was issued
	Server          string     // id of the server that holds the stream
	ServerStartedAt UnixMillis // by that server's clock; 0: before any token that is still valid
}

// StreamRequest is the request that presents a token.
type StreamRequest struct {
	Class  string
	Key    uint64
	Group  uint64
	Tenant uint64
	Cursor uint64 // the stream is to continue after it
}

// sameStream reports whether the request is for the grant's stream.
func (g *Grant) sameStream(request *StreamRequest) bool {
	return g.Class == request.Class && g.Key == request.Key && g.Group == request.Group
}

// checkRequest decides what balancer and server decide alike: whether a grant is valid now and is for this request.
// skew is how far clocks may differ.
func (g *Grant) checkRequest(now, skew UnixMillis, request *StreamRequest) Reason {
	switch {
	case g.IssuedAt > now+skew:
		return NotYetValid
	case now >= g.ExpiresAt:
		return Expired
	case g.Tenant != request.Tenant:
		return TenantMismatch
	case !g.sameStream(request):
		return StreamMismatch
	case request.Cursor > g.LastDelivered:
		return CursorAhead
	}
	return Accepted
}
