// Package store emulates the session store, a service that index nodes call for each new stream without a resume
// token. A Store serves calls one after another at a given rate, and fails those that would wait too long. The protocol
// is lines over TCP: "CALL ID" is answered by "OK ID" or "NO ID". The package must not know the purpose of calls.
package store

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Words of the protocol.
const (
	callPrefix = "CALL "
	wordOK     = "OK"
	wordNo     = "NO"
)

// Store is the service. Its methods may be called from any goroutine.
type Store struct {
	listener    net.Listener
	serviceTime time.Duration // of one call
	maxWait     time.Duration // calls that would wait longer fail
	calls       atomic.Int64
	failed      atomic.Int64

	mu     sync.Mutex
	freeAt time.Time // when all admitted calls will be done
	conns  map[net.Conn]bool
}

// Start starts a store on loopback that serves callsPerSecond. A call that would wait for more than maxWait is answered
// as failed after maxWait.
func Start(callsPerSecond float64, maxWait time.Duration) (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{
		listener:    ln,
		serviceTime: time.Duration(float64(time.Second) / callsPerSecond),
		maxWait:     maxWait,
		conns:       map[net.Conn]bool{},
	}
	go s.accept()
	return s, nil
}

// Addr returns the address at which the store listens.
func (s *Store) Addr() string { return s.listener.Addr().String() }

// Calls returns the number of calls received, and the number of those that failed.
func (s *Store) Calls() (all, failed int) { return int(s.calls.Load()), int(s.failed.Load()) }

// Close stops the store and closes all its connections.
func (s *Store) Close() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	return s.listener.Close()
}

func (s *Store) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = true
		s.mu.Unlock()
		go s.serve(conn)
	}
}

// serve answers the calls of a connection until it ends, or sends a line that is not a call.
func (s *Store) serve(conn net.Conn) {
	var writing sync.Mutex
	answer := func(word, id string) {
		writing.Lock()
		defer writing.Unlock()
		_, _ = fmt.Fprintf(conn, "%s %s\n", word, id) // if the caller has disconnected, it needs no answer
	}
	for lines := bufio.NewScanner(conn); lines.Scan(); {
		id, ok := strings.CutPrefix(lines.Text(), callPrefix)
		if !ok {
			break
		}
		s.calls.Add(1)
		if wait, ok := s.admit(time.Now()); ok {
			time.AfterFunc(wait, func() { answer(wordOK, id) })
		} else {
			s.failed.Add(1)
			time.AfterFunc(s.maxWait, func() { answer(wordNo, id) })
		}
	}
	s.mu.Lock()
	delete(s.conns, conn)
	s.mu.Unlock()
	_ = conn.Close()
}

// admit admits a call, unless it would wait for more than maxWait until its service begins. For an admitted call it
// returns the time until the call is done.
func (s *Store) admit(now time.Time) (wait time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.freeAt.Before(now) {
		s.freeAt = now
	}
	if s.freeAt.Sub(now) > s.maxWait {
		return 0, false
	}
	s.freeAt = s.freeAt.Add(s.serviceTime)
	return s.freeAt.Sub(now), true
}
