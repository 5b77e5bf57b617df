package proxy

import (
	"errors"
	"math/rand/v2"

	"github.com/sirupsen/logrus"

	"spurspread/decision/drainorder"
	"spurspread/decision/monotime"
	"spurspread/decision/outcome"
	"spurspread/decision/resume"
	"spurspread/internal/discovery"
	"spurspread/internal/eventloop"
	"spurspread/internal/logging"
	"spurspread/internal/token"
)

// streamIDSequence sets the random sequence of stream ids apart from others with the same seed.
const streamIDSequence = 0x73747265616d

// ResumeConfig has connections that are moved carry a token, with which they continue where they were;
// docs/protocol/resume.md has the protocol. It concerns clients that ask for tokens, and nobody else.
type ResumeConfig struct {
	// Ring has the keys that tokens are sealed with; the deployment shares them.
	Ring *token.KeyRing
	// TokenLifetime is how long a token is valid, in milliseconds.
	TokenLifetime int64
	// ClockSkew is how far clocks may differ, in milliseconds. A larger one accepts tokens for longer.
	ClockSkew int64
	// MaxClaims is how many presented tokens are remembered at once, so that none is accepted twice. Beyond it tokens
	// are rejected.
	MaxClaims int
	// DrainSpread is the time over which connections are moved off a draining server.
	DrainSpread monotime.Micros
}

// resumption owns the tokens of resumable streams, and the order in which such streams are moved off draining servers.
// What it knows of tokens outlasts a reload, also one that turns it off.
type resumption struct {
	proxy        *Proxy
	cfg          *ResumeConfig
	tokens       *resume.Validator // nil until it is turned on
	drains       *drainorder.Plan
	drainTimer   eventloop.Ref
	due          []uint32    // reused from move to move
	opened       token.Token // reused from token to token
	tokensIssued int
	resumed      int
	streamIDs    *rand.Rand
}

// configure takes a configuration, nil for off.
func (s *resumption) configure(cfg *ResumeConfig, seed uint64) {
	s.cfg = cfg
	switch {
	case cfg == nil:
	case s.tokens == nil:
		s.tokens = resume.NewValidator(resume.UnixMillis(cfg.ClockSkew), cfg.MaxClaims)
		s.drains = drainorder.New(seed)
		s.streamIDs = rand.New(rand.NewPCG(seed, streamIDSequence))
	default:
		s.tokens.SetLimits(resume.UnixMillis(cfg.ClockSkew), cfg.MaxClaims)
	}
}

func (s *resumption) addStats(fields logrus.Fields) {
	if s.tokens == nil {
		return
	}
	fields[logging.TokensIssued] = s.tokensIssued
	fields[logging.Resumed] = s.resumed
	for why, n := range s.tokens.Rejected {
		if reason := resume.Reason(why); n > 0 && reason != resume.Accepted {
			fields[logging.TokensRejected+reason.String()] = n
		}
	}
}

// now is the time in tokens.
func (s *resumption) now() resume.UnixMillis {
	return resume.UnixMillis(s.proxy.loop.Now() / monotime.Millisecond)
}

// openToken reads a token into s.opened and returns why it can't be accepted, Accepted where its seal holds.
func (s *resumption) openToken(text []byte) resume.Reason {
	err := s.cfg.Ring.Open(text, &s.opened)
	switch {
	case err == nil:
		return resume.Accepted
	case errors.Is(err, token.ErrUnknownKey):
		return resume.UnknownKey
	case errors.Is(err, token.ErrForged):
		return resume.Forged
	}
	return resume.Malformed
}

// grant is what the opened token allows.
func (s *resumption) grant() resume.Grant {
	t := &s.opened
	return resume.Grant{
		ID:              resume.ID(t.ID),
		IssuedAt:        resume.UnixMillis(t.IssuedAt),
		ExpiresAt:       resume.UnixMillis(t.ExpiresAt),
		Class:           string(t.Class),
		Key:             t.Key,
		Group:           t.Group,
		Tenant:          t.Tenant,
		LastDelivered:   t.LastSequence,
		ServerStartedAt: resume.UnixMillis(t.ServerStarted),
	}
}

// listed is what the server list says of a token's server.
func listed(server *discovery.Server) resume.ListedServer {
	if server == nil {
		return resume.ListedServer{}
	}
	return resume.ListedServer{
		Ready:     server.State == discovery.Ready,
		StartedAt: resume.UnixMillis(server.StartedMillis),
	}
}

// followServerList has resumable streams moved off servers that began to drain, and no longer off those that don't.
func (s *resumption) followServerList(update discovery.Update) {
	if s.cfg == nil {
		return
	}
	for _, server := range update.Servers {
		switch server.State {
		case discovery.Ready, discovery.Gone:
			s.drains.CancelDrain(server.Number)
		case discovery.Terminating:
			streams := s.streamsAt(server.Number)
			s.drains.StartDrain(s.proxy.loop.Now(), server.Number, streams, s.cfg.DrainSpread)
		}
	}
	s.moveDue()
}

// streamsAt are the resumable streams at a server.
func (s *resumption) streamsAt(server uint32) (streams []drainorder.Connection) {
	for r := range s.proxy.latencies.of(server).established.each {
		if r.state == stateEstablished && r.resumable.canContinue() {
			streams = append(streams, drainorder.Connection{ID: uint32(r.ref), Group: r.open.Group})
		}
	}
	return streams
}

// joinDrain has a stream moved that is established at a server while others are moved off it.
func (s *resumption) joinDrain(r *request) {
	if r.state != stateEstablished || !r.resumable.canContinue() {
		return
	}
	if s.drains.AddConnection(s.proxy.loop.Now(), r.attempt.server.Number, uint32(r.ref)) {
		s.moveDue()
	}
}

// moveDue moves the streams whose turn it is.
func (s *resumption) moveDue() {
	p := s.proxy
	p.loop.Cancel(&s.drainTimer)
	var next monotime.Micros
	s.due, next = s.drains.Due(p.loop.Now(), s.due[:0])
	for _, id := range s.due {
		if r, ok := p.requests.get(id); ok {
			r.moveAway(outcome.Cancelled, false)
		}
	}
	if next >= 0 {
		s.drainTimer = p.loop.After(next-p.loop.Now(), s.moveDue)
	}
}
