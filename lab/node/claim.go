package node

import (
	"errors"
	"time"

	"spurspread/decision/resume"
	"spurspread/internal/token"
)

// claimToken checks the token of the request, and claims it for this connection. It accepts a request without a token,
// and any request if the node has no keys.
func (c *conn) claimToken() resume.Reason {
	n := c.node
	request := &c.request
	if request.Token == "" || n.ring == nil {
		return resume.Accepted
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	var t token.Token
	if err := n.ring.Open([]byte(request.Token), &t); err != nil {
		return reasonOf(err)
	}
	now := time.Now()
	grant := grantOf(&t)
	// Group and tenant are taken from the token, as the node can't parse the request's group and owner. The balancer
	// has already compared them with the token.
	stream := resume.StreamRequest{
		Class:  request.Class,
		Key:    request.Key,
		Group:  t.Group,
		Tenant: t.Tenant,
		Cursor: request.Cursor,
	}
	log := resume.StreamLog{OldestCursor: n.cfg.Index.OldestCursor(request.Key, now)}
	if n.cfg.Fault == ForgetClaims {
		n.registry = resume.NewRegistry(n.cfg.ID, n.started, clockSkew, maxClaims)
	}
	reason := n.registry.Claim(unixMillis(now), &grant, &stream, log, n.draining)
	if reason == resume.Accepted {
		c.claim = grant.ID
	}
	return reason
}

// reasonOf returns the reason for refusing a token that could not be opened.
func reasonOf(err error) resume.Reason {
	switch {
	case errors.Is(err, token.ErrUnknownKey):
		return resume.UnknownKey
	case errors.Is(err, token.ErrForged):
		return resume.Forged
	default:
		return resume.Malformed
	}
}

// grantOf converts the content of a token to the registry's form.
func grantOf(t *token.Token) resume.Grant {
	return resume.Grant{
		ID:              resume.ID(t.ID),
		IssuedAt:        resume.UnixMillis(t.IssuedAt),
		ExpiresAt:       resume.UnixMillis(t.ExpiresAt),
		Class:           string(t.Class),
		Key:             t.Key,
		Group:           t.Group,
		Tenant:          t.Tenant,
		LastDelivered:   t.LastSequence,
		Server:          string(t.Server),
		ServerStartedAt: resume.UnixMillis(t.ServerStarted),
	}
}

// releaseClaim releases the claim of a stream that was not established, so that its token can be used again.
func (c *conn) releaseClaim() {
	c.node.mu.Lock()
	defer c.node.mu.Unlock()
	if c.claim != (resume.ID{}) {
		c.node.registry.Release(c.claim)
	}
}

// closeClaim records in the registry that the connection for which a token was claimed has ended.
func (c *conn) closeClaim() {
	c.node.mu.Lock()
	defer c.node.mu.Unlock()
	if c.claim != (resume.ID{}) {
		c.node.registry.Closed(c.claim)
	}
}
