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

// Link is how a client reaches a balancer: by a connection of its own for each open, or by a channel of one that
// several clients share.
type Link interface {
	// open opens a stream, and waits for its answer until the deadline. The result is never nil; its err is set if
	// there was no answer. The wrap function has the stream's bytes recorded.
	open(ctx context.Context, o *proto.Open, deadline time.Time, wrap wrapper) *conn
}

// wrapper has a stream's bytes recorded.
type wrapper func(recorder.Stream) *recorder.Conn

// conn is a stream that was opened, and its answer.
type conn struct {
	*recorder.Conn // nil if the balancer could not be reached
	reader         *bufio.Reader
	answer         proto.Answer
	err            error                             // why there is no answer
	moved          func() (token string, moved bool) // after its end: whether it was moved without a MOVE line
}

func (k *conn) close() {
	if k.Conn != nil {
		_ = k.Close()
	}
}

// readLine reads one whole line. Half a line before the end is an error.
func (k *conn) readLine() (string, error) {
	text, err := k.reader.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(text), "\r\n"), nil
}

// DedicatedLink reaches a balancer by a connection of its own for each open.
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

// SharedLink reaches a balancer by channels of one connection, which is made again after it has ended. Several
// clients may use it at the same time.
type SharedLink struct {
	Addr        string
	WindowBytes uint32 // receive window of each channel, in bytes
	OnDial      func() // called for each connection made; may be nil

	mu    sync.Mutex
	conn  *sshchan.Conn
	group singleflight.Group
}

// connect returns the connection, and makes it if there is none or it has ended. Clients that call it meanwhile get
// the same result.
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

// Conn is the present connection, which may have ended; nil before the first.
func (l *SharedLink) Conn() *sshchan.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

var errNoAnswer = errors.New("no answer in time")

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

// closeWhenAnswered closes a channel whose open was given up. It can't be closed before the peer has confirmed it
// with its number.
func closeWhenAnswered(channel *sshchan.Channel) {
	if answer, ok := <-channel.Answered(); ok && answer.Up {
		_ = channel.Close()
	}
}
