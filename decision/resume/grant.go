package resume

// UnixMillis is a Unix time, or a span of time, in milliseconds.
type UnixMillis int64

const (
	minute UnixMillis = 60 * 1000

	// MaxLifetime is the longest lifetime that a token may have.
	MaxLifetime = 10 * minute
	// minAgeForZeroStart is the time that a server must have run before it accepts a token whose ServerStartedAt is 0.
	// It exceeds MaxLifetime by more than clocks may differ, so any such token that is still valid was issued during
	// the present run.
	minAgeForZeroStart = 15 * minute
)

// ID identifies a token.
type ID [16]byte

// Grant is the part of a decrypted token that decisions depend on.
type Grant struct {
	ID              ID
	IssuedAt        UnixMillis // by the issuing balancer's clock
	ExpiresAt       UnixMillis // by the same clock
	Class           string     // of the stream, as are Key, Group and Tenant
	Key             uint64
	Group           uint64
	Tenant          uint64
	LastDelivered   uint64     // cursor of the last message delivered when the token was issued
	Server          string     // ID of the server that holds the stream
	ServerStartedAt UnixMillis // by that server's clock; 0: earlier than the issue of any token that is still valid
}

// StreamRequest is the request with which a client presents a token.
type StreamRequest struct {
	Class  string
	Key    uint64
	Group  uint64
	Tenant uint64
	Cursor uint64 // the stream is to continue after this message
}

// sameStream reports whether the request is for the grant's stream.
func (g *Grant) sameStream(request *StreamRequest) bool {
	return g.Class == request.Class && g.Key == request.Key && g.Group == request.Group
}

// checkRequest makes the checks that balancer and server share: whether the grant is valid now and is for this request.
// skew is the largest difference between clocks. It returns Accepted or the reason for a rejection.
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
