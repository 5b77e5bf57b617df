package client

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"

	"spurspread/lab/proto"
	"spurspread/lab/recorder"
	"spurspread/lab/sshchan"
)

// Link opens streams at a balancer: each on its own connection (DedicatedLink), or each on a channel of one connection
// that several clients share (SharedLink).
type Link interface {
	// open opens a stream, and waits for its answer until the deadline. The result is never nil; its err is set if
	// there was no answer. wrap is called with the stream, and records its lines.
	open(ctx context.Context, o *proto.Open, deadline time.Time, wrap wrapper) *conn
}

// wrapper wraps a stream so that its lines are recorded.
type wrapper func(recorder.Stream) *recorder.Conn

// conn is a stream for which an open was sent, with the answer.
type conn struct {
	*recorder.Conn // nil if the balancer could not be reached
	reader         *bufio.Reader
	answer         proto.Answer
	err            error // the reason if there is no answer
	// moved reports, after the stream's end, whether it was moved by a channel request instead of a MOVE line.
	moved func() (token string, moved bool)
}

func (k *conn) close() {
	if k.Conn != nil {
		_ = k.Close()
	}
}

// readLine reads one line and returns it without its end. A line that is cut off by the stream's end is an error.
func (k *conn) readLine() (string, error) {
	text, err := k.reader.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(text), "\r\n"), nil
}

// DedicatedLink makes a new connection to a balancer for each open.
type DedicatedLink struct {
	Addr   string
	OnDial func() // called for each connection made; may be nil
}

func (l DedicatedLink) open(ctx context.Context, o *proto.Open, deadline time.Time, wrap wrapper) *conn {
	dialer := net.Dialer{Deadline: deadline}
	raw, err := dialer.DialContext(ctx, "tcp", l.Addr)
	if err != nil {
		return &conn{err: err}
	}
	if l.OnDial != nil {
		l.OnDial()
	}
	recorded := wrap(recorder.Socket{Conn: raw})
	k := &conn{
		Conn:   recorded,
		reader: bufio.NewReaderSize(recorded, maxLineBytes),
		moved:  func() (string, bool) { return "", false },
	}
	_ = raw.SetDeadline(deadline)
	if _, k.err = k.Write([]byte(o.String())); k.err == nil {
		var text string
		text, k.err = k.readLine()
		k.answer = proto.ParseAnswer(text)
	}
	_ = raw.SetDeadline(time.Time{})
	return k
}

// SharedLink opens a channel for each open, on one connection that it makes again after its end. Several clients may
// use it at the same time.
type SharedLink struct {
	Addr        string
	WindowBytes uint32 // receive window of each channel, in bytes
	OnDial      func() // called for each connection made; may be nil

	mu    sync.Mutex
	conn  *sshchan.Conn
	group singleflight.Group
}

// connect returns the connection, and makes a new one if there is none or it has ended. Concurrent calls share one
// attempt and its result.
func (l *SharedLink) connect(ctx context.Context, deadline time.Time) (*sshchan.Conn, error) {
	if c := l.Conn(); c != nil && c.Err() == nil {
		return c, nil
	}
	made, err, _ := l.group.Do("", func() (any, error) {
		c, err := l.dial(ctx, deadline)
		if err == nil {
			l.mu.Lock()
			l.conn = c
			l.mu.Unlock()
		}
		return c, err
	})
	if err != nil {
		return nil, err
	}
	return made.(*sshchan.Conn), nil
}

func (l *SharedLink) dial(ctx context.Context, deadline time.Time) (*sshchan.Conn, error) {
	dialer := net.Dialer{Deadline: deadline}
	raw, err := dialer.DialContext(ctx, "tcp", l.Addr)
	if err != nil {
		return nil, err
	}
	if l.OnDial != nil {
		l.OnDial()
	}
	_ = raw.SetDeadline(deadline)
	c, err := sshchan.Client(raw, l.WindowBytes)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	_ = raw.SetDeadline(time.Time{})
	context.AfterFunc(ctx, func() { _ = c.Close() })
	return c, nil
}

// Conn returns the current connection, which may have ended; nil before the first one.
func (l *SharedLink) Conn() *sshchan.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

// errNoAnswer is the error of an open that was not answered by its deadline.
var errNoAnswer = errors.New("no answer before the deadline")

func (l *SharedLink) open(ctx context.Context, o *proto.Open, deadline time.Time, wrap wrapper) *conn {
	connection, err := l.connect(ctx, deadline)
	if err != nil {
		return &conn{err: err}
	}
	text := strings.TrimRight(o.String(), "\r\n")
	channel, err := connection.Open(text)
	if err != nil {
		return &conn{err: err}
	}
	k := &conn{Conn: wrap(channel), moved: channel.Moved}
	k.OnEnd = func() {
		if token, moved := channel.Moved(); moved {
			k.RecordLine(strings.TrimRight(wordMove+" "+token, " "), false)
		}
	}
	k.reader = bufio.NewReaderSize(k.Conn, maxLineBytes)
	k.RecordLine(text, true)
	k.awaitAnswer(ctx, channel, deadline)
	return k
}

// awaitAnswer waits for the answer to a channel's open until the deadline, and sets answer or err.
func (k *conn) awaitAnswer(ctx context.Context, channel *sshchan.Channel, deadline time.Time) {
	timeout := time.NewTimer(time.Until(deadline))
	defer timeout.Stop()
	select {
	case answer, ok := <-channel.Answered():
		if !ok {
			k.err = io.ErrUnexpectedEOF
			return
		}
		k.RecordLine(answer.Line, false)
		k.answer = proto.ParseAnswer(answer.Line)
	case <-timeout.C:
		k.err = errNoAnswer
		go closeWhenAnswered(channel)
	case <-ctx.Done():
		k.err = ctx.Err()
	}
}

// closeWhenAnswered closes a channel whose open was given up. The channel can't be closed before the peer has confirmed
// it and assigned its number.
func closeWhenAnswered(channel *sshchan.Channel) {
	if answer, ok := <-channel.Answered(); ok && answer.Up {
		_ = channel.Close()
	}
}
