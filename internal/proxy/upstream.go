package proxy

import (
	"errors"

	"spurspread/decision/attemptoutcome"
	"spurspread/decision/outcome"
	"spurspread/internal/discovery"
	"spurspread/internal/eventloop"
)

// errNoAddress is returned by dialServer for a server that is not listed or is listed without an address.
var errNoAddress = errors.New("server has no address")

// upstream is the server's side of a request.
type upstream interface {
	transport
	// Buffered returns the number of received bytes that this process holds and Read has not returned yet.
	Buffered() int
}

// dialServer starts connecting to a server, for an attempt, a probe or a multiplexed connection. server may be nil.
func (p *Proxy) dialServer(server *discovery.Server, owner eventloop.Owner) (*eventloop.Conn, error) {
	if server == nil || !server.Addr.IsValid() {
		return nil, errNoAddress
	}
	return p.loop.Dial(server.Addr, owner)
}

// dialOutcome returns the outcome of an attempt or probe whose dial failed immediately.
func dialOutcome(err error) outcome.Status {
	return attemptoutcome.OfFailedDial(eventloop.IsResourceExhausted(err))
}
