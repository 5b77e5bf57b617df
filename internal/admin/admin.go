package admin

import (
	"container/list"
	"errors"
	"fmt"
	"net/netip"

	"spurspread/decision/lifecycle"
	"spurspread/internal/eventloop"
)

// Handler carries out a command and returns the reply line without its line end. It is called on the event loop and
// must not block.
type Handler func(lifecycle.Command) string

// MaxConnections bounds the open connections. A further connection displaces the oldest one that has no reply yet.
const MaxConnections = 32

// discardBufferSize is the size in bytes of each read of the data after a command, which is discarded.
const discardBufferSize = 512

// Reasons for rejecting a command before it is parsed, besides lifecycle.ErrLineTooLong. The texts are sent to clients
// after -ERR.
var (
	ErrTooManyConnections = errors.New("too many callers")
	ErrTimeout            = errors.New("no whole call within 0.8 s") // see commandTimeout
	ErrUnterminated       = errors.New("a call without its line end")
)

// Server listens on the admin address and answers commands.
type Server struct {
	loop          *eventloop.Loop
	listener      *eventloop.Listener
	handle        Handler
	unanswered    list.List // each *connection without a reply yet, oldest first
	connections   int       // number of open connections
	discardBuffer [discardBufferSize]byte
}

// Listen binds addr and serves commands there with handle. It must be called on the loop, or before the loop runs. The
// error wraps that of the listener.
func Listen(loop *eventloop.Loop, addr netip.AddrPort, handle Handler) (*Server, error) {
	s := &Server{loop: loop, handle: handle}
	listener, err := loop.Listen(addr, s.accept)
	if err != nil {
		return nil, fmt.Errorf("management address: %w", err)
	}
	s.listener = listener
	return s, nil
}

// Addr returns the bound address, with the port that the kernel chose if port 0 was given.
func (s *Server) Addr() netip.AddrPort { return s.listener.Addr() }

// Connections returns the number of open connections.
func (s *Server) Connections() int { return s.connections }

// Close stops listening. Connections that are open still get their replies.
func (s *Server) Close() { s.listener.Close() }

func (s *Server) accept(adopt func(eventloop.Owner) (*eventloop.Conn, error)) {
	if s.connections >= MaxConnections && !s.displaceOldest() {
		return
	}
	c := &connection{server: s}
	conn, err := adopt(c)
	if err != nil {
		return
	}
	s.connections++
	c.conn = conn
	c.queueEntry = s.unanswered.PushBack(c)
	c.timer = s.loop.After(commandTimeout, func() { c.reject(ErrTimeout) })
	c.Readable(conn)
}

// displaceOldest makes room for a new connection by rejecting the oldest one that has no reply yet. It returns false if
// all have replies and are about to close; then the new connection is closed instead.
func (s *Server) displaceOldest() bool {
	oldest := s.unanswered.Front()
	if oldest == nil {
		return false
	}
	c := oldest.Value.(*connection)
	c.reject(ErrTooManyConnections)
	c.close()
	return true
}
