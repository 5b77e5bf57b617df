package client

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"spurspread/lab/proto"
	"spurspread/lab/recorder"
	"spurspread/lab/sshchan"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/singleflight"
)

// Link is how a client reaches a balancer: by a connection of its own for each open, or by a channel of one that
// several clients share.
type Link interface {
	open(ctx context.Context, o *proto.Open, deadline time.Time, watch func(recorder.Stream) *recorder.Conn) *conn
}

// conn is a stream that was asked for, and its answer.
type conn struct {
	*recorder.Conn
	reader     *bufio.Reader
	answer proto.Answer
	err    error
	moved  func() (token string, moved bool) // after its end, where MOVE is no line
}

func (k *conn) close() {
	if k.Conn != nil {
		_ = k.Close()
	}
}

// readLine reads one whole line; half a line before an end is none.
func (k *conn) readLine() (string, error) {
	text, err := k.reader.ReadSlice('\n')
	if err != nil {
		return "", err
	}
	return strings.TrimRight(string(text), "\r\n"), nil
}

// DedicatedLink reaches a balancer by a connection of its own for each open.
type DedicatedLink struct {
	Addr    string
	OnDial func() // called for each connection, if set
}

func (l DedicatedLink) open(
	ctx context.Context,
	o *proto.Open,
	deadline time.Time,
	watch func(recorder.Stream) *recorder.Conn,
) *conn {
	d := net.Dialer{Deadline: deadline}
	raw, err := d.DialContext(ctx, "tcp", l.Addr)
	if err != nil {
		return &conn{err: err}
	}
	if l.OnDial != nil {
		l.OnDial()
	}
	k := &conn{Conn: watch(recorder.Socket{Conn: raw}), moved: func() (string, bool) { return "", false }}
	k.reader = bufio.NewReaderSize(k.Conn, maxLineBytes)
	_ = raw.SetDeadline(deadline)
	if _, k.err = k.Write([]byte(o.String())); k.err == nil {
		var text string
		text, k.err = k.readLine()
		k.answer = proto.ParseAnswer(text)
	}
	_ = raw.SetDeadline(time.Time{})
	return k
}

// SharedLink reaches a balancer by channels of one connection, which is made anew when it has ended. Counted tells how
// often.
type SharedLink struct {
	Addr    string
	Window  uint32
	OnDial func()

	mu    sync.Mutex
	conn  *sshchan.Conn
	group singleflight.Group
}

// connect gives the connection, and makes one if there is none that stands. Those that ask meanwhile share what
// comes of it.
func (l *SharedLink) connect(ctx context.Context, deadline time.Time) (*sshchan.Conn, error) {
	if c := l.Conn(); c != nil && c.Err() == nil {
		return c, nil
	}
	got, err, _ := l.group.Do("", func() (any, error) {
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
	return got.(*sshchan.Conn), nil
}

func (l *SharedLink) dial(ctx context.Context, deadline time.Time) (*sshchan.Conn, error) {
	d := net.Dialer{Deadline: deadline}
	raw, err := d.DialContext(ctx, "tcp", l.Addr)
	if err != nil {
		return nil, err
	}
	if l.OnDial != nil {
		l.OnDial()
	}
	_ = raw.SetDeadline(deadline)
	c, err := sshchan.Client(raw, l.Window)
	if err != nil {
		_ = raw.Close()
		return nil, err
	}
	_ = raw.SetDeadline(time.Time{})
	context.AfterFunc(ctx, func() { _ = c.Close() })
	return c, nil
}

// Conn is the connection that there is, or nil.
func (l *SharedLink) Conn() *sshchan.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conn
}

var errNoAnswer = errors.New("no answer in time")

func (l *SharedLink) open(
	ctx context.Context,
	o *proto.Open,
	deadline time.Time,
	watch func(recorder.Stream) *recorder.Conn,
) *conn {
	c, err := l.connect(ctx, deadline)
	if err != nil {
		return &conn{err: err}
	}
	text := strings.TrimRight(o.String(), "\r\n")
	ch, err := c.Open(text)
	if err != nil {
		return &conn{err: err}
	}
	k := &conn{Conn: watch(ch), moved: ch.Moved}
	k.AtEnd = func() {
		if token, moved := ch.Moved(); moved {
			k.Note(strings.TrimRight("MOVE "+token, " "), false)
		}
	}
	k.reader = bufio.NewReaderSize(k.Conn, maxLineBytes)
	k.Note(text, true)
	late := time.NewTimer(time.Until(deadline))
	defer late.Stop()
	select {
	case a, ok := <-ch.Answered():
		if !ok {
			k.err = io.ErrUnexpectedEOF
			return k
		}
		k.Note(a.Line, false)
		k.answer = proto.ParseAnswer(a.Line)
	case <-late.C:
		k.err = errNoAnswer
		go func() { // closed as soon as it is known by which number
			if a, ok := <-ch.Answered(); ok && a.Up {
				_ = ch.Close()
			}
		}()
	case <-ctx.Done():
		k.err = ctx.Err()
	}
	return k
}
