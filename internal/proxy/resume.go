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

// streamIDSequence separates the random sequence of stream ids from others with the same seed.
const streamIDSequence = 0x73747265616d

// ResumeConfig configures resumable streams: a client that is moved receives a token, with which it continues its
// stream on another connection. See docs/protocol/resume.md for the protocol. It affects only clients that ask for
// tokens.
type ResumeConfig struct {
	// KeyRing holds the keys that seal tokens; all balancers of the deployment share them.
	KeyRing *token.Keyring
	// TokenLifetime is the validity period of a token, in milliseconds.
	TokenLifetime int64
	// ClockSkew is the tolerated difference between clocks, in milliseconds. With a larger value, tokens are accepted
	// from balancers whose clocks are further ahead.
	ClockSkew int64
	// MaxClaims limits the presented tokens that are remembered so that none is accepted twice. When the limit is
	// reached, further tokens are rejected.
	MaxClaims int
	// DrainSpread is the time over which the moves of connections off a draining server are spread.
	DrainSpread monotime.Micros
}

// resumption issues and validates the tokens of resumable streams, and schedules the moves of such streams off draining
// servers. Its record of used tokens is kept across reloads, including one that turns resumption off.
type resumption struct {
	proxy        *Proxy
	cfg          *ResumeConfig
	tokens       *resume.Validator // nil until resumption is first turned on
	drains       *drainorder.Plan  // the moves off draining servers; nil like tokens
	drainTimer   eventloop.Ref
	dueIDs       []uint32    // buffer, reused by moveDueStreams
	openedToken  token.Token // token most recently opened by openToken
	tokensIssued int
	resumed      int // streams that were resumed with a token
	streamIDs    *rand.Rand
}

// configure applies a configuration; nil turns resumption off.
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
	for verdict, n := range s.tokens.Verdicts {
		if reason := resume.Reason(verdict); n > 0 && reason != resume.Accepted {
			fields[logging.TokensRejected+reason.String()] = n
		}
	}
}

// now returns the current time in the unit of tokens.
func (s *resumption) now() resume.UnixMillis {
	return resume.UnixMillis(s.proxy.loop.Now() / monotime.Millisecond)
}

// openToken decrypts a token into s.openedToken. It returns Accepted if the seal is valid, else the reason to reject
// the token.
func (s *resumption) openToken(text []byte) resume.Reason {
	err := s.cfg.KeyRing.Open(text, &s.openedToken)
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

// grant returns the contents of openedToken for the validator.
func (s *resumption) grant() resume.Grant {
	t := &s.openedToken
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

// listedServer returns the listing of a token's server for the validator; a nil server counts as not ready.
func listedServer(server *discovery.Server) resume.ListedServer {
	if server == nil {
		return resume.ListedServer{}
	}
	return resume.ListedServer{
		Ready:     server.State == discovery.Ready,
		StartedAt: resume.UnixMillis(server.StartedMillis),
	}
}

// handleServerListUpdate starts moving resumable streams off servers that began to drain, and stops moving them off
// servers that are ready again or gone.
func (s *resumption) handleServerListUpdate(update discovery.Update) {
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
	s.moveDueStreams()
}

// streamsAt returns the resumable streams established at a server.
func (s *resumption) streamsAt(server uint32) (streams []drainorder.Connection) {
	for r := range s.proxy.latencies.forServer(server).established.each {
		if r.state == stateEstablished && r.resumable.canContinue() {
			streams = append(streams, drainorder.Connection{ID: uint32(r.ref), Group: r.open.Group})
		}
	}
	return streams
}

// addToDrain schedules the move of a stream that was just established at a server that is being drained.
func (s *resumption) addToDrain(r *request) {
	if r.state != stateEstablished || !r.resumable.canContinue() {
		return
	}
	if s.drains.AddConnection(s.proxy.loop.Now(), r.attempt.server.Number, uint32(r.ref)) {
		s.moveDueStreams()
	}
}

// moveDueStreams moves the streams whose moves are due, and schedules itself for the next one.
func (s *resumption) moveDueStreams() {
	p := s.proxy
	p.loop.Cancel(&s.drainTimer)
	var next monotime.Micros
	s.dueIDs, next = s.drains.Due(p.loop.Now(), s.dueIDs[:0])
	for _, id := range s.dueIDs {
		if r, ok := p.requests.get(id); ok {
			r.startMove(outcome.Cancelled, false)
		}
	}
	if next >= 0 {
		s.drainTimer = p.loop.After(next-p.loop.Now(), s.moveDueStreams)
	}
}
