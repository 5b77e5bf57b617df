package admin

import (
	"container/list"
	"errors"
	"fmt"
	"net/netip"

	"spurspread/decision/lifecycle"
	"spurspread/internal/eventloop"
)

// Handler carries out a command and returns the reply line without its end. It is called on the event loop, and must
// not block.
type Handler func(lifecycle.Command) string

// MaxConnections bounds the open connections. One more displaces the oldest that has no reply yet.
const MaxConnections = 32

// discardBufferSize is how much is read at once of what follows a command, in bytes.
const discardBufferSize = 512

// Why a command is rejected before it is parsed, beside lifecycle.ErrLineTooLong. Clients read the texts after -ERR.
var (
	ErrTooManyConnections = errors.New("too many callers")
	ErrTimeout            = errors.New("no whole call within 0.8 s") // see commandTimeout
	ErrUnterminated       = errors.New("a call without its line end")
)

// Server is a listener on the admin address.
type Server struct {
	loop          *eventloop.Loop
	listener      *eventloop.Listener
	handle        Handler
	unanswered    list.List // of *connection without a reply yet, oldest first
	open          int       // connections
	discardBuffer [discardBufferSize]byte
}

// Listen binds addr on the loop and serves commands there with handle. It must be called on the loop or before it
// runs. The error wraps the listener's.
func Listen(loop *eventloop.Loop, addr netip.AddrPort, handle Handler) (*Server, error) {
	s := &Server{loop: loop, handle: handle}
	listener, err := loop.Listen(addr, s.accept)
	if err != nil {
		return nil, fmt.Errorf("management address: %w", err)
	}
	s.listener = listener
	return s, nil
}

// Addr is the address that is bound, with the port that the kernel chose where none was given.
func (s *Server) Addr() netip.AddrPort { return s.listener.Addr() }

// Connections is the number of open connections.
func (s *Server) Connections() int { return s.open }

// Close stops listening. Open connections stay until they have their reply.
func (s *Server) Close() { s.listener.Close() }

func (s *Server) accept(adopt func(eventloop.Owner) (*eventloop.Conn, error)) {
	if s.open >= MaxConnections && !s.displaceOldest() {
		return
	}
	c := &connection{server: s}
	conn, err := adopt(c)
	if err != nil {
		return
	}
	s.open++
	c.conn = conn
	c.queueEntry = s.unanswered.PushBack(c)
	c.timer = s.loop.After(commandTimeout, func() { c.reject(ErrTimeout) })
	c.Readable(conn)
}

// displaceOldest makes place for a new connection by rejecting the oldest that has no reply yet. It returns false where
// all have theirs: they are about to be closed, and the new connection is closed instead.
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
