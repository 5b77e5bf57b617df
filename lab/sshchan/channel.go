package sshchan

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sync"

	"golang.org/x/crypto/ssh"
)

var (
	// errReset is returned by Read after a channel was closed without EOF.
	errReset = errors.New("channel closed without EOF")
	// errInvalidData ends a connection whose peer sent malformed data, or data that exceeds the window or follows EOF.
	errInvalidData = errors.New("invalid DATA message")
)

// Channel is one channel of a connection: a stream of bytes without deadlines. Its methods may be called from any
// goroutine.
type Channel struct {
	Line string // its first line

	conn   *Conn
	number uint32 // this side's number, by which the peer addresses the channel
	answer chan Answer

	// The connection's mutex guards all fields below.
	peerNumber     uint32 // the peer's number, by which this side addresses the channel
	sendWindow     uint32 // bytes that the peer still accepts
	maxPacket      uint32 // bytes that the peer accepts in one message
	receiveWindow  uint32 // bytes that were granted to the peer and not yet received
	received       []byte // bytes received and not yet read
	readable       sync.Cond
	err            error   // returned by Read after the received bytes
	moveToken      *string // token of the peer's move request; nil: not moved
	confirmed      bool    // the side that did not open the channel has confirmed it
	answered       bool    // answer is closed
	closeSent      bool
	eofSent        bool
	withholdCredit bool // no more window is granted, so that the peer stalls
}

// Answer is the answer to an open.
type Answer struct {
	Up   bool
	Code uint32 // of a refusal: ResourceShortage or ConnectFailed
	Line string // the UP line, or the text of the refusal
}

// Conn returns the connection that carries the channel.
func (ch *Channel) Conn() *Conn { return ch.conn }

// Answered returns a Go channel that receives the answer to the open. It is closed without an answer if the SSH channel
// or the connection ends before.
func (ch *Channel) Answered() <-chan Answer { return ch.answer }

// Confirm accepts a channel that the peer has opened, with an answer line.
func (ch *Channel) Confirm(line string) error {
	ch.conn.mu.Lock()
	defer ch.conn.mu.Unlock()
	ch.confirmed = true
	return ch.conn.write(ssh.Marshal(confirmMsg{
		ID:        ch.peerNumber,
		Sender:    ch.number,
		Window:    ch.receiveWindow,
		MaxPacket: maxChannelPacket,
		Data:      []byte(line),
	}))
}

// Refuse refuses a channel that the peer has opened. The code is ResourceShortage or ConnectFailed.
func (ch *Channel) Refuse(code uint32, text string) error {
	ch.conn.mu.Lock()
	defer ch.conn.mu.Unlock()
	delete(ch.conn.channels, ch.number)
	ch.closeSent = true // nothing more may be sent on it
	return ch.conn.write(ssh.Marshal(failureMsg{ID: ch.peerNumber, Reason: code, Message: text}))
}

// handle handles a message for this channel. An error ends the connection. The caller of this and of the other handlers
// holds the connection's mutex.
func (ch *Channel) handle(payload []byte) error {
	switch payload[0] {
	case numConfirm:
		return ch.handleConfirm(payload)
	case numFailure:
		return ch.handleFailure(payload)
	case numAdjust:
		var m adjustMsg
		if err := ssh.Unmarshal(payload, &m); err != nil {
			return err
		}
		ch.sendWindow += m.Bytes
		ch.conn.writable.Broadcast()
	case numData:
		return ch.handleData(payload)
	case numEOF:
		ch.finish(io.EOF)
	case numClose:
		ch.handleClose()
	case numRequest:
		return ch.handleRequest(payload)
	}
	return nil
}

func (ch *Channel) handleConfirm(payload []byte) error {
	var m confirmMsg
	if err := ssh.Unmarshal(payload, &m); err != nil {
		return err
	}
	ch.peerNumber = m.Sender
	ch.sendWindow = m.Window
	ch.maxPacket = m.MaxPacket
	ch.confirmed = true
	ch.sendAnswer(Answer{Up: true, Line: string(m.Data)})
	return nil
}

func (ch *Channel) handleFailure(payload []byte) error {
	var m failureMsg
	if err := ssh.Unmarshal(payload, &m); err != nil {
		return err
	}
	delete(ch.conn.channels, ch.number)
	ch.sendAnswer(Answer{Code: m.Reason, Line: m.Message})
	ch.err = errReset
	return nil
}

// handleData receives bytes of the stream. It parses the message without ssh.Unmarshal, so that measurements of
// throughput are not limited by this package instead of the balancer.
func (ch *Channel) handleData(payload []byte) error {
	if len(payload) < dataHeaderBytes {
		return errInvalidData
	}
	data := payload[dataHeaderBytes:]
	if int(binary.BigEndian.Uint32(payload[channelHeaderBytes:])) != len(data) {
		return errInvalidData
	}
	if uint32(len(data)) > ch.receiveWindow {
		return fmt.Errorf("%w: %d bytes with a window of %d", errInvalidData, len(data), ch.receiveWindow)
	}
	if ch.err != nil {
		return fmt.Errorf("%w: %d bytes after %w", errInvalidData, len(data), ch.err)
	}
	ch.receiveWindow -= uint32(len(data))
	ch.received = append(ch.received, data...)
	ch.readable.Broadcast()
	return nil
}

// handleClose ends the channel, and answers the peer's CLOSE unless this side has already sent one.
func (ch *Channel) handleClose() {
	ch.finish(errReset)
	if !ch.closeSent {
		ch.closeSent = true
		_ = ch.conn.write(ssh.Marshal(closeMsg{ch.peerNumber}))
	}
	delete(ch.conn.channels, ch.number)
	ch.conn.writable.Broadcast()
}

// handleRequest keeps the token of a move request for Moved. It answers any request that wants a reply with a failure.
func (ch *Channel) handleRequest(payload []byte) error {
	var m requestMsg
	if err := ssh.Unmarshal(payload, &m); err != nil {
		return err
	}
	if m.Type == moveRequest {
		ch.moveToken = &m.Token
	}
	if !m.WantReply {
		return nil
	}
	return ch.conn.write(ssh.Marshal(requestFailureMsg{ch.peerNumber}))
}

// finish ends the receiving direction: after the received bytes, Read returns err. The caller holds the mutex.
func (ch *Channel) finish(err error) {
	if ch.err == nil {
		ch.err = err
	}
	if !ch.answered {
		ch.answered = true
		close(ch.answer)
	}
	ch.readable.Broadcast()
}

// sendAnswer passes the first answer to the open on to Answered. The caller holds the mutex.
func (ch *Channel) sendAnswer(a Answer) {
	if ch.answered {
		return
	}
	ch.answered = true
	ch.answer <- a
	close(ch.answer)
}

// Read reads the stream. The error is io.EOF after the peer's EOF, and another one if the stream was aborted.
func (ch *Channel) Read(b []byte) (int, error) {
	ch.conn.mu.Lock()
	defer ch.conn.mu.Unlock()
	for len(ch.received) == 0 && ch.err == nil {
		ch.readable.Wait()
	}
	if len(ch.received) == 0 {
		return 0, ch.err
	}
	n := copy(b, ch.received)
	ch.received = ch.received[n:]
	ch.grantCredit()
	return n, nil
}

// grantCredit grants the peer window for the bytes that were read, once they are at least half of the window.
func (ch *Channel) grantCredit() {
	credit := ch.conn.window - ch.receiveWindow - uint32(len(ch.received))
	if credit < ch.conn.window/2 || ch.withholdCredit || ch.err != nil || ch.closeSent {
		return
	}
	ch.receiveWindow += credit
	_ = ch.conn.write(ssh.Marshal(adjustMsg{ID: ch.peerNumber, Bytes: credit})) // after an error reads fail, too
}

// Write sends bytes, and blocks while the peer's window is used up. Once the connection or this side of the channel has
// ended the error is io.ErrClosedPipe.
func (ch *Channel) Write(b []byte) (int, error) {
	ch.conn.mu.Lock()
	defer ch.conn.mu.Unlock()
	sent := 0
	for len(b) > 0 {
		for ch.sendWindow == 0 && ch.conn.err == nil && !ch.closeSent {
			ch.conn.writable.Wait()
		}
		if ch.conn.err != nil || ch.closeSent || ch.eofSent {
			return sent, io.ErrClosedPipe
		}
		n := min(len(b), int(ch.sendWindow), int(ch.maxPacket), maxDataBytes)
		if err := ch.sendData(b[:n]); err != nil {
			return sent, err
		}
		ch.sendWindow -= uint32(n)
		sent += n
		b = b[n:]
	}
	return sent, nil
}

// sendData sends one DATA message. The caller holds the mutex.
func (ch *Channel) sendData(data []byte) error {
	message := ch.conn.sendBuffer[:0]
	message = append(message, numData)
	message = binary.BigEndian.AppendUint32(message, ch.peerNumber)
	message = binary.BigEndian.AppendUint32(message, uint32(len(data)))
	message = append(message, data...)
	ch.conn.sendBuffer = message
	return ch.conn.write(message)
}

// CloseWrite sends EOF. Before the channel is confirmed it does nothing, as the peer's number is not yet known.
func (ch *Channel) CloseWrite() error {
	ch.conn.mu.Lock()
	defer ch.conn.mu.Unlock()
	if ch.eofSent || ch.closeSent || !ch.confirmed {
		return nil
	}
	ch.eofSent = true
	return ch.conn.write(ssh.Marshal(eofMsg{ch.peerNumber}))
}

// Reset sends CLOSE, which aborts the stream if no EOF was sent before. Before the channel is confirmed it does
// nothing.
func (ch *Channel) Reset() error {
	ch.conn.mu.Lock()
	defer ch.conn.mu.Unlock()
	if ch.closeSent || !ch.confirmed || ch.conn.err != nil {
		return nil
	}
	ch.closeSent = true
	if ch.err == nil {
		ch.err = errReset
		ch.readable.Broadcast()
	}
	return ch.conn.write(ssh.Marshal(closeMsg{ch.peerNumber}))
}

// Close ends the channel regularly, by EOF and CLOSE.
func (ch *Channel) Close() error {
	return errors.Join(ch.CloseWrite(), ch.Reset())
}

// Move asks the peer to open a new channel elsewhere, with the token if it is not empty, and closes this channel.
func (ch *Channel) Move(token string) error {
	ch.conn.mu.Lock()
	err := ch.conn.write(ssh.Marshal(requestMsg{ID: ch.peerNumber, Type: moveRequest, Token: token}))
	ch.conn.mu.Unlock()
	return errors.Join(err, ch.Close())
}

// Moved reports whether the peer has sent a move request, and returns the request's token.
func (ch *Channel) Moved() (token string, moved bool) {
	ch.conn.mu.Lock()
	defer ch.conn.mu.Unlock()
	if ch.moveToken == nil {
		return "", false
	}
	return *ch.moveToken, true
}

// WithholdCredit sets whether no more window is granted to the peer. If on, the peer stalls once its window is used up.
func (ch *Channel) WithholdCredit(on bool) {
	ch.conn.mu.Lock()
	defer ch.conn.mu.Unlock()
	ch.withholdCredit = on
}
